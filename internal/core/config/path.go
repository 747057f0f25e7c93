package config

import (
	"regexp"
	"strings"
)

// Kind is the kind of value that a path holds.
type Kind string

// The kinds of paths.
const (
	KindTeam    Kind = "teams"
	KindPool    Kind = "pools"
	KindRoute   Kind = "routes"
	KindAccount Kind = "accounts"
)

// SystemTeam owns /system, and with it the list of teams.
const SystemTeam = "system"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Path is a parsed configuration path. Ref.Team is the owner of the subtree.
type Path struct {
	Kind Kind
	Ref  Ref
}

// String returns the path in the form that ParsePath accepts.
func (p Path) String() string {
	return "/" + p.Ref.Team + "/" + string(p.Kind) + "/" + p.Ref.Name
}

// ParsePath parses a path; it fails with an UnknownPathError.
func ParsePath(text string) (Path, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 4 || parts[0] != "" || !namePattern.MatchString(parts[1]) || !namePattern.MatchString(parts[3]) {
		return Path{}, &UnknownPathError{Path: text}
	}
	p := Path{Kind: Kind(parts[2]), Ref: Ref{Team: parts[1], Name: parts[3]}}
	switch p.Kind {
	case KindPool, KindRoute, KindAccount:
		if p.Ref.Team != SystemTeam {
			return p, nil
		}
	case KindTeam:
		// The key of team system comes from the settings, not from the log.
		if p.Ref.Team == SystemTeam && p.Ref.Name != SystemTeam {
			return p, nil
		}
	}
	return Path{}, &UnknownPathError{Path: text}
}
