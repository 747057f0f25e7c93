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
// the last, without reflection. It refuses all it is not sure of: escapes,
// control characters, invalid UTF-8, other fields, another order of fields.
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
	text, ok := bytes.CutSuffix(rest, endPart)
	if !ok || !plainText(text) {
		return port.Chunk{}, false
	}
	return port.Chunk{Index: index, Text: string(text)}, true
}

// plainText reports whether the inside of a JSON string stands for itself.
func plainText(text []byte) bool {
	ascii := true
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
		ascii = ascii && c < utf8.RuneSelf
	}
	return ascii || utf8.Valid(text)
}
