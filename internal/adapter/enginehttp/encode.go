package enginehttp

import (
	"encoding/binary"
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"mimosaseam.example/mimosaseam/internal/port"
)

// completionOverhead is the buffer capacity for everything except the texts, in bytes.
const completionOverhead = 256

// encodeCompletion renders the body of a completion request. It avoids
// encoding/json, which examines each byte of the long prompts.
func encodeCompletion(g port.Generation) []byte {
	size := len(g.Prompt) + len(g.ResumeText)
	b := make([]byte, 0, size+size/16+completionOverhead)
	b = append(b, `{"model":`...)
	b = appendString(b, g.Model)
	b = append(b, `,"prompt":`...)
	b = appendString(b, g.Prompt)
	if g.MaxTokens > 0 {
		b = append(b, `,"max_tokens":`...)
		b = strconv.AppendInt(b, int64(g.MaxTokens), 10)
	}
	b = append(b, `,"priority":`...)
	b = strconv.AppendInt(b, int64(g.Priority), 10)
	if g.ResumeFrom > 0 {
		b = append(b, `,"resume":{"from":`...)
		b = strconv.AppendInt(b, int64(g.ResumeFrom), 10)
		b = append(b, `,"text":`...)
		b = appendString(b, g.ResumeText)
		b = append(b, '}')
	}
	return append(b, `,"stream":true}`...)
}

// appendString appends a JSON string. HTML characters stay as they are, and
// invalid UTF-8 is replaced as encoding/json does.
func appendString(b []byte, s string) []byte {
	if !utf8.ValidString(s) {
		data, _ := json.Marshal(s) // a string: cannot fail
		return append(b, data...)
	}
	b = append(b, '"')
	for {
		n := unescapedPrefix(s)
		b = append(b, s[:n]...)
		if n == len(s) {
			return append(b, '"')
		}
		b = appendEscape(b, s[n])
		s = s[n+1:]
	}
}

const (
	lowBits  = 0x0101010101010101
	highBits = 0x80 * lowBits
)

// unescapedPrefix returns the number of leading bytes that need no escape. It
// examines eight bytes at a time: subtracting sets the high bit of each byte that
// is less than the subtrahend.
func unescapedPrefix(s string) int {
	i := 0
	for ; i+8 <= len(s); i += 8 {
		word := []byte(s[i : i+8])
		x := binary.LittleEndian.Uint64(word)
		quotes, slashes := x^('"'*lowBits), x^('\\'*lowBits)
		special := (x-' '*lowBits)&^x | (quotes-lowBits)&^quotes | (slashes-lowBits)&^slashes
		if special&highBits != 0 {
			break
		}
	}
	for ; i < len(s); i++ {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' {
			break
		}
	}
	return i
}

func appendEscape(b []byte, c byte) []byte {
	const hexDigits = "0123456789abcdef"
	switch c {
	case '"', '\\':
		return append(b, '\\', c)
	case '\n':
		return append(b, '\\', 'n')
	case '\t':
		return append(b, '\\', 't')
	case '\r':
		return append(b, '\\', 'r')
	}
	return append(b, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&15])
}
