// Package stream checks the numbered chunks of a response: duplicates are
// dropped, gaps are failures, and a response is complete only with its
// terminal mark. It keeps what another engine needs to resume the response.
package stream

import (
	"strconv"
	"strings"

	"mimosaseam.example/mimosaseam/internal/port"
)

// GapError says that a chunk arrived before the one that was due.
type GapError struct {
	Expected int
	Got      int
}

func (e *GapError) Error() string {
	return "chunk " + strconv.Itoa(e.Got) + " arrived while chunk " + strconv.Itoa(e.Expected) + " was due"
}

// Assembler follows one response over all attempts that produce it. It is not
// safe for concurrent use.
type Assembler struct {
	next  int
	text  strings.Builder
	last  port.Chunk
	ended bool
}

// Accept takes the next chunk of the current attempt. It reports whether the
// chunk is new and must be delivered; duplicates and chunks after the terminal
// mark are dropped, and a gap fails with a *GapError.
func (a *Assembler) Accept(c port.Chunk) (bool, error) {
	if a.ended || c.Index < a.next {
		return false, nil
	}
	if c.Index > a.next {
		return false, &GapError{Expected: a.next, Got: c.Index}
	}
	a.next++
	a.text.WriteString(c.Text)
	if c.FinishReason != "" {
		a.ended = true
		a.last = c
	}
	return true, nil
}

// Complete reports whether the terminal mark was accepted.
func (a *Assembler) Complete() bool { return a.ended }

// Chunks is the number of chunks accepted so far.
func (a *Assembler) Chunks() int { return a.next }

// ResumePoint returns the index of the first chunk that is still missing and the
// text of the chunks before it.
func (a *Assembler) ResumePoint() (from int, text string) { return a.next, a.text.String() }

// FinishReason is the reason given with the terminal mark.
func (a *Assembler) FinishReason() port.FinishReason { return a.last.FinishReason }

// Usage returns the usage reported with the terminal mark. One chunk is one
// token, so the completion tokens of a resumed response are counted over all
// its attempts.
func (a *Assembler) Usage() port.Usage {
	var u port.Usage
	if a.last.Usage != nil {
		u = *a.last.Usage
	}
	u.CompletionTokens = a.next
	return u
}
