package enginehttp

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/port"
)

type wireChunk struct {
	Index        *int              `json:"index"`
	Text         string            `json:"text"`
	FinishReason port.FinishReason `json:"finish_reason"`
	Usage        *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

var (
	indexPart = []byte(`{"index":`)
	textPart  = []byte(`,"text":"`)
	endPart   = []byte(`","finish_reason":null}`)
)

// maxIndexDigits keeps the index of plain chunks within an int32.
const maxIndexDigits = 9

// parseChunk decodes one chunk.
func parseChunk(data []byte) (port.Chunk, error) {
	if chunk, ok := parsePlain(data); ok {
		return chunk, nil
	}
	var wire wireChunk
	if err := json.Unmarshal(data, &wire); err != nil {
		return port.Chunk{}, eris.Wrap(ErrMalformed, err.Error())
	}
	if wire.Index == nil || *wire.Index < 0 {
		return port.Chunk{}, eris.Wrap(ErrMalformed, "chunk without an index")
	}
	chunk := port.Chunk{Index: *wire.Index, Text: wire.Text, FinishReason: wire.FinishReason}
	if wire.Usage != nil {
		chunk.Usage = &port.Usage{
			PromptTokens:     wire.Usage.PromptTokens,
			CompletionTokens: wire.Usage.CompletionTokens,
			CachedTokens:     wire.Usage.Details.CachedTokens,
		}
	}
	return chunk, nil
}

// parsePlain decodes a chunk in the form that engines send for all chunks but
// the last, without reflection. It rejects everything else, to be decoded by
// encoding/json: \u escapes, control characters, invalid UTF-8, other fields or
// another order of fields.
func parsePlain(data []byte) (port.Chunk, bool) {
	rest, ok := bytes.CutPrefix(data, indexPart)
	if !ok {
		return port.Chunk{}, false
	}
	index, digits := 0, 0
	for digits < len(rest) && rest[digits] >= '0' && rest[digits] <= '9' {
		index = index*10 + int(rest[digits]-'0')
		digits++
	}
	if digits == 0 || digits > maxIndexDigits || digits > 1 && rest[0] == '0' {
		return port.Chunk{}, false
	}
	if rest, ok = bytes.CutPrefix(rest[digits:], textPart); !ok {
		return port.Chunk{}, false
	}
	inside, ok := bytes.CutSuffix(rest, endPart)
	if !ok {
		return port.Chunk{}, false
	}
	text, ok := unquote(inside)
	return port.Chunk{Index: index, Text: text}, ok
}

// unquote decodes the inside of a JSON string.
func unquote(inside []byte) (string, bool) {
	ascii, escaped := true, false
	for i := 0; i < len(inside); i++ {
		c := inside[i]
		if c == '\\' {
			// The escaped character is checked when it is decoded.
			escaped = true
			i++
			continue
		}
		if c < ' ' || c == '"' {
			return "", false
		}
		ascii = ascii && c < utf8.RuneSelf
	}
	if !ascii && !utf8.Valid(inside) {
		return "", false
	}
	if escaped {
		return unescape(inside)
	}
	return string(inside), true
}

// unescape decodes single-character escapes; it rejects \u, which is rare.
func unescape(inside []byte) (string, bool) {
	out := make([]byte, 0, len(inside))
	for i := 0; i < len(inside); i++ {
		c := inside[i]
		if c == '\\' {
			i++
			if i == len(inside) {
				return "", false
			}
			if c = unescaped[inside[i]]; c == 0 {
				return "", false
			}
		}
		out = append(out, c)
	}
	return string(out), true
}

// unescaped maps the character after a backslash to the character it encodes.
var unescaped = [256]byte{
	'"': '"', '\\': '\\', '/': '/', 'b': '\b', 'f': '\f', 'n': '\n', 'r': '\r', 't': '\t',
}
