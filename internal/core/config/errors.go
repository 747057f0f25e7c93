package config

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/port"
)

// ErrMalformed means that a record or a value is not JSON of the expected form.
var ErrMalformed = eris.New("malformed JSON")

// ErrSnapshotUnusable means that no state can be restored from a snapshot record.
var ErrSnapshotUnusable = eris.New("snapshot record is unusable")

// Problem is one validation error of a value.
type Problem struct {
	Path     string // configuration path
	Field    string // field inside the value, for example "targets[0].address"
	Found    string
	Expected string
}

// String renders the problem for an operator.
func (p Problem) String() string {
	where := p.Path
	if p.Field != "" {
		where += ": " + p.Field
	}
	return where + ": found " + p.Found + ", expected " + p.Expected
}

// InvalidError lists all problems of one value.
type InvalidError struct{ Problems []Problem }

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return "invalid value: " + strings.Join(lines, "; ")
}

// UnknownPathError means that the path is not a valid configuration path.
type UnknownPathError struct{ Path string }

func (e *UnknownPathError) Error() string {
	return "unknown path " + strconv.Quote(e.Path) +
		", expected /system/teams/<team> or /<team>/pools|routes|accounts/<name>"
}

// NotOwnerError means that the author's team does not own the path.
type NotOwnerError struct{ Path, Author, Owner string }

func (e *NotOwnerError) Error() string {
	return "path " + e.Path + " belongs to team " + strconv.Quote(e.Owner) + ", not to " + strconv.Quote(e.Author)
}

// UnknownTeamError means that the team that owns the path does not exist.
type UnknownTeamError struct{ Path, Team string }

func (e *UnknownTeamError) Error() string {
	return "path " + e.Path + " belongs to team " + strconv.Quote(e.Team) + ", which does not exist"
}

// BadSignatureError means that the signature does not verify with the key of
// the author's team.
type BadSignatureError struct{ ID, Author string }

func (e *BadSignatureError) Error() string {
	return "signature of change " + strconv.Quote(e.ID) + " does not verify with the key of team " + strconv.Quote(e.Author)
}

// ConflictError means that the change is not based on the current revision of the
// path. The Other fields describe the last change of the path and are empty if
// there is none.
type ConflictError struct {
	Path         string
	BaseRevision port.Offset
	Current      port.Offset // current revision of the path, 0 if absent
	OtherID      string
	OtherAuthor  string
	OtherOffset  port.Offset // offset of the other change
}

func (e *ConflictError) Error() string {
	text := "path " + e.Path + " is at revision " + formatOffset(e.Current) +
		", the change is based on " + formatOffset(e.BaseRevision)
	if e.OtherID == "" {
		return text
	}
	return text + "; last changed by " + strconv.Quote(e.OtherAuthor) + " with change " +
		strconv.Quote(e.OtherID) + " at offset " + formatOffset(e.OtherOffset)
}

// DuplicateError means that a change of the same author and id was already
// decided. FirstReason is empty if that change was accepted.
type DuplicateError struct {
	ID          string
	FirstOffset port.Offset
	FirstReason Reason
}

func (e *DuplicateError) Error() string {
	return "change " + strconv.Quote(e.ID) + " was already decided at offset " + formatOffset(e.FirstOffset)
}

func formatOffset(o port.Offset) string { return strconv.FormatUint(uint64(o), 10) }
