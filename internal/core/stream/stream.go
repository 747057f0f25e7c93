// Package stream checks the numbered chunks and events of a streamed response:
// duplicates are dropped, gaps are failures, and a response is complete only with
// its terminal chunk. It retains what another engine needs to resume the response.
package stream

import (
	"strconv"
	"strings"

	"mimosaseam.example/mimosaseam/internal/port"
)

// GapError reports a chunk that arrived before the expected one.
type GapError struct {
	Expected int
	Got      int
}

func (e *GapError) Error() string {
	return "chunk " + strconv.Itoa(e.Got) + " received, chunk " + strconv.Itoa(e.Expected) + " expected"
}

// Assembler assembles one response from the chunks of all its attempts. It is not
// safe for concurrent use.
type Assembler struct {
	next     int
	text     strings.Builder
	terminal port.Chunk
	complete bool
}

// Accept processes the next chunk of the current attempt. It reports whether the
// chunk is new and must be delivered; the caller drops duplicates and chunks after
// the terminal chunk. A gap fails with a *GapError.
func (a *Assembler) Accept(c port.Chunk) (bool, error) {
	if a.complete || c.Index < a.next {
		return false, nil
	}
	if c.Index > a.next {
		return false, &GapError{Expected: a.next, Got: c.Index}
	}
	a.next++
	a.text.WriteString(c.Text)
	if c.FinishReason != "" {
		a.complete = true
		a.terminal = c
	}
	return true, nil
}

// Complete reports whether the terminal chunk has been accepted.
func (a *Assembler) Complete() bool { return a.complete }

// Chunks returns the number of accepted chunks.
func (a *Assembler) Chunks() int { return a.next }

// ResumePoint returns the index of the first missing chunk and the text of the chunks
// before it.
func (a *Assembler) ResumePoint() (from int, text string) { return a.next, a.text.String() }

// FinishReason returns the finish reason of the terminal chunk.
func (a *Assembler) FinishReason() port.FinishReason { return a.terminal.FinishReason }

// Usage returns the usage reported with the terminal chunk. One chunk is one
// token, so the completion tokens of a resumed response are the chunks of all its
// attempts.
func (a *Assembler) Usage() port.Usage {
	var u port.Usage
	if a.terminal.Usage != nil {
		u = *a.terminal.Usage
	}
	u.CompletionTokens = a.next
	return u
}
