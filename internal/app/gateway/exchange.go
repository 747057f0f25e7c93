package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/gatewayconfig"
	"mimosaseam.example/mimosaseam/internal/core/limits"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/core/retrypolicy"
	"mimosaseam.example/mimosaseam/internal/core/stream"
	"mimosaseam.example/mimosaseam/internal/port"
)

// exchange is one request under way.
type exchange struct {
	g           *Gateway
	config      *gatewayconfig.Configuration
	r           *Request
	sink        Sink
	route       *gatewayconfig.Route
	account     *gatewayconfig.ClientAccount
	service     string
	engine      *gatewayconfig.Engine
	scope       string
	place       placement.Request
	fingerprint retry.Fingerprint
	deadline    time.Time

	history retrypolicy.History
	order   stream.SequenceChecker
	// committed is set once the head of an answer was passed on.
	committed bool
	tried     map[string]bool
	sends     int
	// sentAt is the start of the last send, zero once its first event came.
	sentAt     time.Time
	lastTarget string
	lastCause  error
	firstEvent time.Duration
	score      placement.Score
	scores     []placement.Score
	// elsewhere is the most that another cache holds of the prompt.
	elsewhere int
	// fetchFrom and saveTo are where the last attempt moved cached parts.
	fetchFrom, saveTo string
	retryAfter        time.Duration
	// next is the ranking with which the request was admitted, and queued how long it
	// waited for that.
	next   *ranked
	queued time.Duration
	// kept is a target's failure that was held back for a repeat.
	kept *keptAnswer
	// floor is the oldest version on which the request may begin, 0: any.
	floor int
	// expectWeights is the version that the target must serve, 0: any.
	expectWeights int
}

// keptAnswer is a whole answer that has not been passed on yet.
type keptAnswer struct {
	answer port.Answer
	body   []byte
}

// defaultTimeout stands in for a route and a client that name none.
const defaultTimeout = 30 * time.Second

// plan finds what the configuration says of the request. All of it is taken
// from one configuration.
func (g *Gateway) plan(r *Request, sink Sink) (*exchange, error) {
	c := g.config.Load()
	if c == nil {
		return nil, &Failure{Kind: KindRefused, RetryAfter: spreadAfter(comeBackSoon), Cause: ErrNoConfiguration}
	}
	age := g.ConfigurationAge()
	route := c.Route(r.Host, r.Path)
	if route == nil {
		return nil, g.unlessStale(age, KindNoRoute)
	}
	x := &exchange{g: g, config: c, r: r, sink: sink, route: route, tried: map[string]bool{}, service: route.PickService(spread())}
	if c.NeedsKey(route) {
		// A key may have been taken away since the configuration was last known to
		// be the newest.
		if g.settings().KeyBound > 0 && age > g.settings().KeyBound {
			return x, &Failure{Kind: KindRefused, RetryAfter: spreadAfter(comeBackLater), Cause: ErrUnverified}
		}
		if x.account = c.Account(r.Key); x.account == nil {
			return x, g.unlessStale(age, KindNoAccount)
		}
	}
	if c.Limits.MaxBodyBytes > 0 && int64(len(r.Body)) > c.Limits.MaxBodyBytes {
		return x, &Failure{Kind: KindTooLarge}
	}
	if s := c.Services[x.service]; s != nil {
		x.engine = s.Engine
	}
	x.setDeadline()
	x.setPlace()
	if g.Fingerprints.Quarantined(g.Clock.Now(), x.fingerprint) {
		return x, &Failure{Kind: KindCrashes}
	}
	return x, nil
}

// unlessStale refuses for good only on a configuration that was just verified:
// an older one may lack what is new.
func (g *Gateway) unlessStale(age time.Duration, kind Kind) *Failure {
	if age > g.settings().StaleBound {
		return &Failure{Kind: KindRefused, RetryAfter: spreadAfter(comeBackSoon), Cause: ErrUnverified}
	}
	return &Failure{Kind: kind}
}

func (x *exchange) setDeadline() {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if x.r.Patience > 0 {
		timeout = min(timeout, x.r.Patience)
	}
	x.deadline = x.r.Received.Add(timeout)
}

// setPlace derives what placement and crash detection need.
func (x *exchange) setPlace() {
	account := ""
	if x.account != nil {
		account = x.account.Name
		if x.account.Isolated {
			x.scope = account
		}
	}
	x.fingerprint = retry.FingerprintOf(account, x.r.Path, string(x.r.Body))
	if x.engine == nil {
		return
	}
	scope := port.Scope{ClientAccount: x.scope, Model: x.r.Model}
	x.place = placement.Request{Scope: scope, Blocks: placement.PartBlocks(scope, x.r.Prompt),
		BlockTokens: placement.PartBlockTokens, PromptTokens: x.r.PromptTokens,
		OutputTokens: x.r.MaxOutputTokens, PromptBytes: len(x.r.Body)}
}

// serve drives attempts until the request is answered or given up.
func (x *exchange) serve(ctx context.Context) error {
	ctx, cancel := context.WithDeadlineCause(ctx, time.Now().Add(x.deadline.Sub(x.g.Clock.Now())), ErrRouteTimeout)
	defer cancel()
	x.g.window(x.service).CountRequest(x.g.Clock.Now())
	permit, err := x.admit(ctx)
	if err != nil {
		return x.notAdmitted(ctx, err)
	}
	started := func() {
		if permit != nil {
			permit.MarkStarted()
		}
	}
	if permit != nil {
		defer permit.Release()
	}
	for {
		t, err := x.choose(ctx, started)
		if err != nil {
			return x.giveUp(ctx, retrypolicy.NotRun, err)
		}
		evidence, err := x.attempt(ctx, t, started)
		if err == nil {
			return nil
		}
		x.history.Add(evidence)
		x.lastCause = err
		if ctx.Err() != nil || !retrypolicy.MayRetry(x.route, x.history, evidence) {
			return x.giveUp(ctx, evidence, err)
		}
		if !x.g.mayRepeat(x.service) {
			x.g.Metrics.Add(MetricNoBudget, 1)
			return x.giveUp(ctx, evidence, errors.Join(ErrNoBudget, err))
		}
		x.g.Metrics.Add(MetricRepeats, 1)
		x.g.Log.LogAttrs(ctx, slog.LevelInfo, "repeated", slog.String("request", x.r.ID), slog.String("target", t.ID),
			slog.Int("runs", x.history.PossibleRuns), slog.Int("refusals", x.history.Refusals), slog.String("why", err.Error()))
	}
}

// notAdmitted refuses a request that cannot be served in time. The client is told when
// the queue will have drained.
func (x *exchange) notAdmitted(ctx context.Context, err error) error {
	var refused *limits.RefusedError
	if errors.As(err, &refused) {
		x.g.Metrics.Add(MetricNotAdmitted, 1)
		x.retryAfter = refused.RetryAfter
	}
	return x.giveUp(ctx, retrypolicy.NotRun, err)
}

// Waits that a refused client is advised to keep.
const (
	// comeBackSoon covers the start of a router or the busy moment of a target.
	comeBackSoon = 300 * time.Millisecond
	// comeBackLater covers the readiness checks after which the entry sends
	// clients to routers that can reach the log.
	comeBackLater = 2 * time.Second
)

// spreadAfter spreads the return of refused clients over half of the wait to one
// and a half, so that they do not come back together.
func spreadAfter(wait time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(wait))
}

// giveUp decides the final answer.
func (x *exchange) giveUp(ctx context.Context, last retrypolicy.Outcome, cause error) error {
	f := &Failure{Cause: cause, RetryAfter: spreadAfter(max(x.retryAfter, comeBackSoon))}
	var own *Failure
	switch {
	case clientGone(ctx):
		f.Kind = KindGone
	case x.kept != nil && !x.committed && ctx.Err() == nil:
		return x.passKept()
	case errors.As(cause, &own):
		return own
	case retrypolicy.ChooseFinalAction(x.history, last) == retrypolicy.Abort || x.committed:
		f.Kind = KindAborted
	case retrypolicy.ChooseFinalAction(x.history, last) == retrypolicy.Refuse:
		f.Kind = KindRefused
	case ctx.Err() != nil:
		f.Kind = KindTimeout
	default:
		f.Kind = KindUnknown
	}
	return f
}

// session names the longest part of the prompt that other requests share: the
// last but one, because the last is the request's own.
func (x *exchange) session() string {
	if n := len(x.r.Prompt); n > 1 {
		return x.r.Prompt[n-2].ID
	}
	return ""
}

// attrs are the inputs of the request's decisions for its log line.
func (x *exchange) attrs() []slog.Attr {
	out := []slog.Attr{slog.String("route", x.route.Name), slog.String("service", x.service), slog.Float64("objective_ms", ms(x.route.Objective)),
		slog.String("target", x.lastTarget), slog.Int("sends", x.sends), slog.Int("runs", x.history.PossibleRuns),
		slog.Int("refusals", x.history.Refusals)}
	if x.account != nil {
		out = append(out, slog.String("account", x.account.Name))
	}
	if x.queued >= toldWait {
		out = append(out, slog.Float64("queued_ms", ms(x.queued)))
	}
	if x.firstEvent > 0 {
		out = append(out, slog.Float64("first_event_ms", ms(x.firstEvent)))
	}
	if x.engine != nil {
		last, _ := x.order.Last()
		out = append(out, slog.Uint64("last_event", last))
	}
	return out
}
