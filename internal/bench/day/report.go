package day

import (
	"slices"
	"time"
)

// Outcomes counts what became of requests.
type Outcomes struct {
	Requests int `json:"requests"`
	// OnTime answers came within the objective, Late ones later.
	OnTime int `json:"on_time"`
	Late   int `json:"late"`
	// Refused requests have not run. Failed ones may have.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Aborted answers ended early; Left means that the client did.
	Aborted      int `json:"broken_off"`
	Disconnected int `json:"left"`
	// NotAllowed requests had no route or no key.
	NotAllowed int `json:"not_allowed"`
}

// Parts are the mean parts of the time to the first token, in ms. All but Queued are
// what the router expected when it sent the request; Rest is what came on top.
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

// Tokens counts prompt tokens as the router believed them when it sent.
type Tokens struct {
	Prompt int `json:"prompt"`
	Cached int `json:"cached"`
	// Fetched came from another cache, Again were read although one held them.
	Fetched    int `json:"fetched"`
	Recomputed int `json:"again"`
	// Wasted were read for requests that got no whole answer from that send.
	Wasted int `json:"wasted"`
}

// Prefilled is the number of tokens that engines had to read.
func (t Tokens) Prefilled() int { return t.Prompt - t.Cached - t.Fetched }

// Report explains a day.
type Report struct {
	Routes   map[string]*Outcomes `json:"routes"`
	Accounts map[string]*Outcomes `json:"accounts"`
	Zones    map[string]*Outcomes `json:"availability_zones"`
	Seconds  []Second             `json:"seconds"`
	Parts    map[string]*Parts    `json:"time_to_first_token"`
	Tokens   Tokens               `json:"tokens"`
	Sends    int                  `json:"sends"`
	Retries  int                  `json:"repeats"`
	Orders   int                  `json:"orders"`
	Skipped  int                  `json:"skipped_lines"`
}

// Second holds the outcomes of requests that ended in one second of the day.
type Second struct {
	At time.Time `json:"at"`
	Outcomes
}

type builder struct {
	report *Report
	zones  map[string]string
	// sent holds the last send of each request under way.
	sent   map[string]line
	firsts map[string][]float64
	at     map[int64]*Second
}

func newBuilder() *builder {
	return &builder{report: &Report{Routes: map[string]*Outcomes{}, Accounts: map[string]*Outcomes{}, Zones: map[string]*Outcomes{},
		Parts: map[string]*Parts{}}, zones: map[string]string{}, sent: map[string]line{}, firsts: map[string][]float64{},
		at: map[int64]*Second{}}
}

func (b *builder) add(l line) {
	switch l.Message {
	case messageStarting:
		b.zones[l.VM] = l.AvailabilityZone
	case messageOrder:
		b.report.Orders++
	case messageRepeated:
		b.report.Retries++
	case messageSent:
		b.send(l)
	case messageAnswered, messageNotAnswered:
		b.end(l)
	}
}

func (b *builder) send(l line) {
	b.report.Sends++
	if before, repeated := b.sent[l.Request]; repeated {
		b.waste(before)
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

func (b *builder) waste(l line) { b.report.Tokens.Wasted += l.PromptTokens - l.CachedTokens }

func (b *builder) end(l line) {
	second := l.Time.Unix()
	if b.at[second] == nil {
		b.at[second] = &Second{At: time.Unix(second, 0).UTC()}
	}
	for _, o := range []*Outcomes{of(b.report.Routes, l.Route), of(b.report.Accounts, l.Account),
		of(b.report.Zones, b.zones[l.VM]), &b.at[second].Outcomes} {
		o.count(l)
	}
	sent, engine := b.sent[l.Request]
	delete(b.sent, l.Request)
	switch {
	case !engine || sent.PromptTokens == 0:
	case l.Message == messageAnswered:
		b.addParts(l, sent)
	default:
		b.waste(sent)
	}
}

// of returns the counts of a name; requests that are not known to have one share "-".
func of(all map[string]*Outcomes, name string) *Outcomes {
	if name == "" {
		name = "-"
	}
	if all[name] == nil {
		all[name] = &Outcomes{}
	}
	return all[name]
}

func (o *Outcomes) count(l line) {
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

func (b *builder) addParts(l, sent line) {
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
	b.firsts[l.Route] = append(b.firsts[l.Route], l.FirstEventMs)
}

func (b *builder) finish() {
	for route, p := range b.report.Parts {
		n := float64(p.Responses)
		for _, v := range []*float64{&p.QueuedMs, &p.WaitMs, &p.PrefillMs, &p.LinkMs, &p.TTFTMs} {
			*v /= n
		}
		p.RestMs = p.TTFTMs - p.QueuedMs - p.WaitMs - p.PrefillMs - p.LinkMs
		slices.Sort(b.firsts[route])
		p.P90Ms = b.firsts[route][p.Responses*9/10]
	}
	for _, s := range b.at {
		b.report.Seconds = append(b.report.Seconds, *s)
	}
	slices.SortFunc(b.report.Seconds, func(a, z Second) int { return a.At.Compare(z.At) })
}
