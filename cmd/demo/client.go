package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"mimosaseam.example/mimosaseam/internal/harness"
)

const (
	team       = "demo"
	accountOne = "crews"
	accountTwo = "planners"
)

func apiKey(account string) string { return "demo-key-" + account }

// publish publishes the team and the configuration with the operators' command.
func (s *system) publish(ctx context.Context) error {
	public, err := s.command(ctx, "config", "keygen", "--key", s.teamKey)
	if err != nil {
		return err
	}
	teamFile, bundleFile := filepath.Join(s.dir, "team.jsonc"), filepath.Join(s.dir, "bundle.jsonc")
	teamBundle := map[string]any{"/system/teams/" + team: map[string]string{"public_key": strings.TrimSpace(public)}}
	for file, value := range map[string]any{teamFile: teamBundle, bundleFile: s.bundle()} {
		text, _ := json.Marshal(value)
		if err := os.WriteFile(file, text, 0o600); err != nil {
			return &harness.StartError{Component: "configuration", Cause: err}
		}
	}
	if _, err := s.command(ctx, "config", "put", "--settings", s.settings[0], "--author", "system",
		"--key", s.systemKey, "--bundle", teamFile); err != nil {
		return err
	}
	_, err = s.command(ctx, "config", "put", "--settings", s.settings[0], "--author", team,
		"--key", s.teamKey, "--bundle", bundleFile, "--wait")
	return err
}

func (s *system) bundle() map[string]any {
	type object = map[string]any
	var targets []object
	for i, e := range s.engines {
		targets = append(targets, object{"name": e.name, "address": e.address, "region": region(i),
			"availability_zone": region(i) + "-a"})
	}
	app := []object{{"name": "app-1", "address": s.app.address, "region": region(0), "availability_zone": region(0) + "-a"}}
	routes := []string{model, "lookup", "reservation"}
	account := func(name string) object {
		sum := sha256.Sum256([]byte(apiKey(name)))
		return object{"key_sha256": []string{hex.EncodeToString(sum[:])}, "routes": routes, "limits": object{}}
	}
	return object{
		"/demo/pools/" + model:         object{"kind": "engine", "model": model, "weights_version": weights, "targets": targets},
		"/demo/pools/app":              object{"kind": "service", "targets": app},
		"/demo/routes/" + model:        object{"pool": model, "model": model, "retry_budget_percent": 50, "stall_timeout_ms": 1500, "weights": object{"recompute": 1}},
		"/demo/routes/lookup":          object{"pool": "app", "repeat": "any", "weights": object{}},
		"/demo/routes/reservation":     object{"pool": "app", "repeat": "never", "timeout_ms": 10000, "weights": object{}},
		"/demo/accounts/" + accountOne: account(accountOne),
		"/demo/accounts/" + accountTwo: account(accountTwo),
	}
}

// writeValue writes a configuration value to a file and returns the file's path.
func (s *system) writeValue(name string, value any) string {
	file := filepath.Join(s.dir, name)
	text, _ := json.Marshal(value)
	_ = os.WriteFile(file, text, 0o600) // if this fails, the command that reads the file reports it
	return file
}

// revision returns the revision of a path as listed by config get, or "" on failure.
func (s *system) revision(ctx context.Context, path string) string {
	out, err := s.command(ctx, "config", "get", "--settings", s.settings[0])
	if err != nil {
		return ""
	}
	for line := range strings.Lines(out) {
		if fields := strings.Fields(line); len(fields) == 2 && fields[1] == path {
			return fields[0]
		}
	}
	return ""
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status       int
	text         string
	done         bool
	cached       int
	promptTokens int
	ttft         time.Duration
	body         string
}

// stream sends a streaming completion request and reads the response to its end. It
// calls after once afterChunks chunks have arrived.
func stream(ctx context.Context, router, account, requestID, prompt string, tokens, afterChunks int, after func()) (callerResponse, error) {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens, "stream": true,
		"stream_options": map[string]bool{"include_usage": true}})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return callerResponse{}, err
	}
	request.Header.Set("Authorization", "Bearer "+apiKey(account))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", requestID)
	start := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callerResponse{}, err
	}
	defer response.Body.Close()
	a := callerResponse{status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		text, err := io.ReadAll(response.Body)
		a.body = string(text)
		return a, err
	}
	return a, readEvents(response.Body, &a, start, afterChunks, after)
}

func readEvents(r io.Reader, a *callerResponse, start time.Time, afterChunks int, after func()) error {
	scanner := bufio.NewScanner(r)
	chunks := 0
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.done = true
			return nil
		}
		var event struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
			Usage *struct {
				PromptTokens int `json:"prompt_tokens"`
				Details      struct {
					Cached int `json:"cached_tokens"`
				} `json:"prompt_tokens_details"`
			} `json:"usage"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return err
		}
		for _, c := range event.Choices {
			if chunks == 0 {
				a.ttft = time.Since(start)
			}
			a.text += c.Text
			chunks++
			if chunks == afterChunks {
				after()
			}
		}
		if event.Usage != nil {
			a.promptTokens, a.cached = event.Usage.PromptTokens, event.Usage.Details.Cached
		}
	}
	return scanner.Err()
}

// call sends a non-streaming request to a service route.
func call(ctx context.Context, router, method, path, key, body string) (callerResponse, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+router+path, strings.NewReader(body))
	if err != nil {
		return callerResponse{}, err
	}
	request.Header.Set("Authorization", "Bearer "+apiKey(accountOne))
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	start := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callerResponse{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, body: string(text), ttft: time.Since(start)}, err
}

func getJSON(url string, into any) error {
	response, err := http.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}
