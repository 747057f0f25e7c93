package day

import (
	"slices"
	"time"
)

// Outcomes counts requests by outcome.
type Outcomes struct {
	Requests int `json:"requests"`
	// OnTime counts responses that started within the objective, Late those after it.
	OnTime int `json:"on_time"`
	Late   int `json:"late"`
	// Refused requests did not run. Failed ones may have run.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Aborted responses ended early; Disconnected counts clients that disconnected.
	Aborted      int `json:"broken_off"`
	Disconnected int `json:"left"`
	// NotAllowed requests had no route or no account.
	NotAllowed int `json:"not_allowed"`
}

// Parts holds the mean parts of the time to the first token, in ms. QueuedMs is
// measured; WaitMs, PrefillMs and LinkMs are the router's estimates when it sent the
// request, and RestMs is the time that they do not explain.
type Parts struct {
	Responses int     `json:"answers"`
	QueuedMs  float64 `json:"queued_ms"`
	WaitMs    float64 `json:"wait_ms"`
	PrefillMs float64 `json:"prefill_ms"`
	LinkMs    float64 `json:"link_ms"`
	RestMs    float64 `json:"rest_ms"`
	TTFTMs    float64 `json:"first_ms"`
	P90Ms     float64 `json:"p90_ms"`
}

// Tokens counts prompt tokens by the router's estimates when it sent the requests.
type Tokens struct {
	Prompt int `json:"prompt"`
	Cached int `json:"cached"`
	// Fetched tokens came from another cache; Recomputed ones were computed although
	// another cache had them.
	Fetched    int `json:"fetched"`
	Recomputed int `json:"again"`
	// Wasted tokens were computed for attempts without a complete response.
	Wasted int `json:"wasted"`
}

// Prefilled is the number of tokens that engines had to compute.
func (t Tokens) Prefilled() int { return t.Prompt - t.Cached - t.Fetched }

// Report is the report on one day.
type Report struct {
	Routes   map[string]*Outcomes `json:"routes"`
	Accounts map[string]*Outcomes `json:"accounts"`
	Zones    map[string]*Outcomes `json:"availability_zones"`
	Seconds  []Second             `json:"seconds"`
	Parts    map[string]*Parts    `json:"time_to_first_token"`
	Tokens   Tokens               `json:"tokens"`
	Attempts int                  `json:"sends"`
	Retries  int                  `json:"repeats"`
	Orders   int                  `json:"orders"`
	Skipped  int                  `json:"skipped_lines"`
	// Rereads counts the tokens of shared prompt parts that were prefilled again, by
	// reason. Routers holds the outcomes by router.
	Rereads map[Reread]int       `json:"prefilled_again"`
	Routers map[string]*Outcomes `json:"routers"`
}

// Second holds the outcomes of requests that ended in one second of the day.
type Second struct {
	At time.Time `json:"at"`
	Outcomes
}

type builder struct {
	report *Report
	zones  map[string]string
	// sent holds the log line of the last attempt of each request in progress.
	sent    map[string]logLine
	ttfts   map[string][]float64
	seconds map[int64]*Second
	rereads *rereads
}

func newBuilder() *builder {
	return &builder{report: &Report{Routes: map[string]*Outcomes{}, Accounts: map[string]*Outcomes{}, Zones: map[string]*Outcomes{},
		Parts: map[string]*Parts{}, Routers: map[string]*Outcomes{}}, rereads: newRereads(), zones: map[string]string{}, sent: map[string]logLine{}, ttfts: map[string][]float64{},
		seconds: map[int64]*Second{}}
}

func (b *builder) add(l logLine) {
	b.rereads.add(l)
	switch l.Message {
	case messageStarting:
		b.zones[l.VM] = l.AvailabilityZone
	case messageOrder:
		b.report.Orders++
	case messageRepeated:
		b.report.Retries++
	case messageSent:
		b.addAttempt(l)
	case messageAnswered, messageNotAnswered:
		b.endRequest(l)
	}
}

func (b *builder) addAttempt(l logLine) {
	b.report.Attempts++
	if before, retried := b.sent[l.Request]; retried {
		b.addWasted(before)
	}
	b.sent[l.Request] = l
	t := &b.report.Tokens
	t.Prompt += l.PromptTokens
	t.Cached += l.CachedTokens
	switch gain := l.ElsewhereTokens - l.CachedTokens; {
	case gain <= 0:
	case l.FetchFrom != "":
		t.Fetched += gain
	default:
		t.Recomputed += gain
	}
}

func (b *builder) addWasted(l logLine) { b.report.Tokens.Wasted += l.PromptTokens - l.CachedTokens }

func (b *builder) endRequest(l logLine) {
	second := l.Time.Unix()
	if b.seconds[second] == nil {
		b.seconds[second] = &Second{At: time.Unix(second, 0).UTC()}
	}
	for _, o := range []*Outcomes{outcomesOf(b.report.Routes, l.Route), outcomesOf(b.report.Accounts, l.Account),
		outcomesOf(b.report.Zones, b.zones[l.VM]), outcomesOf(b.report.Routers, l.VM), &b.seconds[second].Outcomes} {
		o.count(l)
	}
	sent, engine := b.sent[l.Request]
	delete(b.sent, l.Request)
	switch {
	case !engine || sent.PromptTokens == 0:
	case l.Message == messageAnswered:
		b.addParts(l, sent)
	default:
		b.addWasted(sent)
	}
}

// outcomesOf returns the counts of a name; requests without a name are counted as "-".
func outcomesOf(all map[string]*Outcomes, name string) *Outcomes {
	if name == "" {
		name = "-"
	}
	if all[name] == nil {
		all[name] = &Outcomes{}
	}
	return all[name]
}

func (o *Outcomes) count(l logLine) {
	o.Requests++
	switch {
	case l.Message == messageAnswered && l.FirstEventMs <= l.ObjectiveMs:
		o.OnTime++
	case l.Message == messageAnswered:
		o.Late++
	case l.Outcome == "no route" || l.Outcome == "no account":
		o.NotAllowed++
	case l.Outcome == "client gone":
		o.Disconnected++
	case l.Outcome == "aborted":
		o.Aborted++
	case l.Outcome == "unknown" || l.Outcome == "timeout":
		o.Failed++
	default:
		o.Refused++
	}
}

func (b *builder) addParts(l, sent logLine) {
	p := b.report.Parts[l.Route]
	if p == nil {
		p = &Parts{}
		b.report.Parts[l.Route] = p
	}
	p.Responses++
	p.QueuedMs += l.QueuedMs
	p.WaitMs += sent.QueueMs
	p.PrefillMs += sent.PrefillMs
	p.LinkMs += sent.LinkMs
	p.TTFTMs += l.FirstEventMs
	b.ttfts[l.Route] = append(b.ttfts[l.Route], l.FirstEventMs)
}

func (b *builder) finish() {
	b.report.Rereads = b.rereads.tokens()
	for route, p := range b.report.Parts {
		n := float64(p.Responses)
		for _, v := range []*float64{&p.QueuedMs, &p.WaitMs, &p.PrefillMs, &p.LinkMs, &p.TTFTMs} {
			*v /= n
		}
		p.RestMs = p.TTFTMs - p.QueuedMs - p.WaitMs - p.PrefillMs - p.LinkMs
		slices.Sort(b.ttfts[route])
		p.P90Ms = b.ttfts[route][p.Responses*9/10]
	}
	for _, s := range b.seconds {
		b.report.Seconds = append(b.report.Seconds, *s)
	}
	slices.SortFunc(b.report.Seconds, func(a, z Second) int { return a.At.Compare(z.At) })
}
