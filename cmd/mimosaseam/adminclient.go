package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/adapter/adminhttp"
	"mimosaseam.example/mimosaseam/internal/adapter/tlsconfig"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/settings"
)

const (
	adminTimeout = 5 * time.Second
	// adminMaxBytes bounds a response: a status of 5,100 targets is about 1 MiB.
	adminMaxBytes = 16 << 20
	// inForcePollInterval is the time between polls of config put --wait.
	inForcePollInterval = 100 * time.Millisecond
)

func adminURL(flag string, s settings.Settings) string {
	if flag != "" {
		return strings.TrimSuffix(flag, "/")
	}
	if s.Admin.TLS.CertFile != "" {
		return "https://" + s.Admin.Address
	}
	return "http://" + s.Admin.Address
}

// AdminError is an error response of a router's admin server.
type AdminError struct {
	URL    string
	Status int
	Body   string
}

func (e *AdminError) Error() string {
	return e.URL + " returned status " + strconv.Itoa(e.Status) + ": " + e.Body
}

// adminEndpoint holds the flags that select a router's admin address.
type adminEndpoint struct{ router, settings, ca string }

// addFlags adds the flags that name the router.
func (a *adminEndpoint) addFlags(c command) {
	c.String(&a.router, "r", "router", "Admin URL of the router, as http://10.0.0.1:8081.")
	c.String(&a.settings, "s", "settings", "Settings file that gives the admin address instead.")
	c.addCA(&a.ca)
}

func (c command) addCA(file *string) {
	c.String(file, "", "ca", "PEM file with the roots that the router's certificate is checked against.")
}

func (a adminEndpoint) call(method, path string, body, into any) error {
	url, err := routerURL(a.router, a.settings)
	if err != nil {
		return err
	}
	return callAdmin(a.ca, method, url+path, body, into)
}

func adminHTTPClient(caFile string) (*http.Client, error) {
	clientTLS, err := tlsconfig.Client(caFile)
	if err != nil {
		return nil, err
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: clientTLS}}, nil
}

func callAdmin(caFile, method, url string, body, into any) error {
	client, err := adminHTTPClient(caFile)
	if err != nil {
		return err
	}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return eris.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return &UsageError{Message: err.Error()}
	}
	response, err := client.Do(request)
	if err != nil {
		return &port.UnavailableError{Peer: "router", Cause: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, adminMaxBytes))
	if err != nil {
		return &port.UnavailableError{Peer: "router", Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return &AdminError{URL: url, Status: response.StatusCode, Body: strings.TrimSpace(string(text))}
	}
	return eris.Wrap(json.Unmarshal(text, into), "decode response of "+url)
}

// waitInForce polls a router until it reports the offset in force on all routers.
func waitInForce(out io.Writer, caFile, router string, offset port.Offset, timeout time.Duration) error {
	url := router + "/v1/config/applied?offset=" + strconv.FormatUint(uint64(offset), 10)
	deadline := time.Now().Add(timeout)
	for {
		var applied adminhttp.Applied
		err := callAdmin(caFile, http.MethodGet, url, nil, &applied)
		if err == nil && len(applied.Lagging) == 0 {
			fmt.Fprintf(out, "in force on %d routers\n", len(applied.InForce))
			return nil
		}
		if time.Now().After(deadline) {
			if err != nil {
				return err
			}
			return eris.Wrap(ErrNotInForce, "lagging: "+strings.Join(applied.Lagging, ", "))
		}
		time.Sleep(inForcePollInterval)
	}
}

func statusCommand() command {
	var router adminEndpoint
	asJSON := false
	c := newCommand("status", "Print a router's state: peers, targets, configuration, budgets, quarantines.",
		func(out io.Writer) error {
			var s adminhttp.Status
			if err := router.call(http.MethodGet, "/v1/status", nil, &s); err != nil {
				return err
			}
			if asJSON {
				return printJSON(out, s)
			}
			return printStatus(out, s)
		})
	router.addFlags(c)
	c.Bool(&asJSON, "j", "json", "Print JSON.")
	return c
}

func routerURL(router, file string) (string, error) {
	switch {
	case router != "":
		return strings.TrimSuffix(router, "/"), nil
	case file != "":
		s, err := settings.Load(file)
		return adminURL("", s), err
	}
	return "", &UsageError{Message: "name the router with --router URL or --settings FILE"}
}

func printStatus(out io.Writer, s adminhttp.Status) error {
	ready := "ready"
	if !s.Readiness.Ready {
		ready = "not ready: " + s.Readiness.Reason
	}
	fmt.Fprintf(out, "%s (%s, %s), version %s: %s\n", s.VM, s.Region, s.AvailabilityZone, s.Version, ready)
	fmt.Fprintf(out, "configuration offset %d, last contact with the log %s, quarantined requests %d\n\n",
		s.ConfigOffset, logContact(s), s.Quarantined)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "ROUTER\tADDRESS\tAVAILABILITY ZONE\tSTATE\tCONFIG")
	for _, p := range s.Peers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", p.Name, p.Address, p.AvailabilityZone, p.State, p.ConfigOffset)
	}
	fmt.Fprintln(w, "\nTARGET\tPOOL\tADDRESS\tREGION\tCIRCUIT\tIN FLIGHT\tLEAVING")
	for _, t := range s.Targets {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%t\n", t.Name, t.Pool, t.Address, t.Region, t.Circuit, t.InFlight, t.Leaving)
	}
	fmt.Fprintln(w, "\nROUTE\tRETRY BUDGET")
	for route, tokens := range s.BudgetTokens {
		fmt.Fprintf(w, "%s\t%.1f\n", route, tokens)
	}
	return w.Flush()
}

func logContact(s adminhttp.Status) string {
	if s.LogContact.IsZero() {
		return "never"
	}
	return s.LogContact.Format(time.RFC3339)
}

func explainCommand() command {
	var router adminEndpoint
	var promptFile string
	var r adminhttp.ExplainRequest
	c := newCommand("explain", "Print where a request would go and why, without running it.", func(out io.Writer) error {
		if r.ClientAccount == "" || r.Model == "" || promptFile == "" {
			return &UsageError{Message: "explain needs --account TEAM/NAME, --model and --prompt FILE"}
		}
		text, err := os.ReadFile(promptFile)
		if err != nil {
			return eris.Wrap(err, "read prompt")
		}
		r.Prompt = string(text)
		var explanation json.RawMessage
		if err := router.call(http.MethodPost, "/v1/explain", r, &explanation); err != nil {
			return err
		}
		return printJSON(out, explanation)
	})
	router.addFlags(c)
	c.String(&r.ClientAccount, "a", "account", "Client account, as TEAM/NAME.")
	c.String(&r.Model, "m", "model", "Model name.")
	c.String(&promptFile, "p", "prompt", "File with the prompt.")
	c.Int(&r.MaxTokens, "n", "max-tokens", "Maximum number of output tokens.")
	return c
}
