package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"mimosaseam.example/mimosaseam/internal/app/allotments"
	"mimosaseam.example/mimosaseam/internal/core/allotment"
	"mimosaseam.example/mimosaseam/internal/core/balance"
	"mimosaseam.example/mimosaseam/internal/core/gatewayconfig"
	"mimosaseam.example/mimosaseam/internal/core/limits"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/retry"
	"mimosaseam.example/mimosaseam/internal/core/retrypolicy"
	"mimosaseam.example/mimosaseam/internal/core/shutdown"
	"mimosaseam.example/mimosaseam/internal/core/stream"
	"mimosaseam.example/mimosaseam/internal/core/workload"
	"mimosaseam.example/mimosaseam/internal/port"
)

// exchange is the state of one request in progress.
type exchange struct {
	g       *Gateway
	config  *gatewayconfig.Configuration
	r       *Request
	sink    Sink
	route   *gatewayconfig.Route
	account *gatewayconfig.ClientAccount
	service string
	engine  *gatewayconfig.Engine
	// scope is the KV cache scope of the account, without the weights version.
	scope            string
	placementRequest placement.Request
	fingerprint      retry.Fingerprint
	// segments are the prompt segments that other requests may share.
	segments []retry.SegmentHash
	// promptBytes is the memory that was taken for what is held of the prompt.
	promptBytes int64
	deadline    time.Time

	history  retrypolicy.History
	sequence stream.SequenceChecker
	// committed is set once response headers were sent to the client. relaying is its
	// copy for watchLiveness.
	committed bool
	relaying  atomic.Bool
	// unplaced is set once something was relayed whose place in the response cannot be named
	// to another target: nothing may follow it.
	unplaced bool
	tried    map[string]bool
	attempts int
	// running is set from the first attempt on. succeeded is set once a target has
	// answered with success.
	running   *shutdown.Running
	succeeded bool
	// sentAt is the start of the last attempt, zero once its first event arrived.
	sentAt time.Time
	// currentAttempt is the id of the last attempt. answering is set once its first event
	// arrived.
	currentAttempt string
	answering      bool
	lastTarget     string
	lastCause      error
	firstEvent     time.Duration
	score          placement.Score
	scores         []placement.Score
	// prefillPerSecond is the service's prefill rate as of the last ranking.
	prefillPerSecond float64
	// plain is the plain target of the last attempt as it was ranked, and sent the attempt's
	// record in the target's work; nil for engines.
	plain balance.Candidate
	sent  *workload.Sent
	// eventsBegan is when the last attempt's first event arrived, zero before.
	eventsBegan time.Time
	// cachedElsewhere is the largest number of prompt tokens that another cache holds.
	cachedElsewhere int
	// fetchFrom and saveTo are the caches between which the last attempt transferred
	// prompt segments.
	fetchFrom, saveTo string
	retryAfter        time.Duration
	// ranking is the ranking with which the request was admitted, gate what admitted it, and
	// queued the time that it waited for admission.
	ranking *ranking
	gate    limits.Gate
	queued  time.Duration
	// held is a target's error response that was held back for a retry.
	held *bufferedResponse
	// blocked is what kept all targets from use when they were last looked at.
	blocked block
	// unanswered is set once an attempt ended without an answer.
	unanswered bool
	// minWeights is the oldest weights version on which the request may begin, 0: any.
	minWeights int
	// allotted is what the account was charged; over is set if it had too little left.
	allotted allotment.Charge
	over     *allotments.RefusedError
	// expectWeights is the weights version that the target must serve, 0: any.
	expectWeights int
}

// bufferedResponse is a complete response that was not relayed yet.
type bufferedResponse struct {
	response port.ForwardResponse
	buffer   *limits.Buffer
}

// defaultTimeout applies when neither the route nor the client sets one.
const defaultTimeout = 30 * time.Second

// resolve finds the request's route, client account and service, all from one version of the
// configuration. It looks at the head of the request only.
func (g *Gateway) resolve(r *Request) (*exchange, error) {
	c := g.config.Load()
	if c == nil {
		return nil, &Failure{Kind: KindRefused, RetryAfter: jitter(shortRetryAfter), Cause: ErrNoConfiguration}
	}
	age := g.ConfigurationAge()
	route := c.Route(r.Host, r.Path)
	if route == nil {
		return nil, g.rejection(age, KindNoRoute)
	}
	x := &exchange{g: g, config: c, r: r, route: route, tried: map[string]bool{}, service: route.PickService(randomPoint())}
	if c.NeedsKey(route) {
		// The key may have been revoked since the configuration was last verified to be
		// the newest.
		if g.settings().KeyRevocationBound > 0 && age > g.settings().KeyRevocationBound {
			return x, &Failure{Kind: KindRefused, RetryAfter: jitter(longRetryAfter), Cause: ErrUnverified}
		}
		if x.account = c.Account(r.Key); x.account == nil {
			return x, g.rejection(age, KindNoAccount)
		}
	}
	return x, nil
}

// plan resolves the request and prepares its limits, from one version of the configuration.
func (g *Gateway) plan(r *Request, sink Sink) (*exchange, error) {
	x, err := g.resolve(r)
	if err != nil {
		return x, err
	}
	x.sink = sink
	c := x.config
	if c.Limits.MaxBodyBytes > 0 && int64(len(r.Body)) > c.Limits.MaxBodyBytes {
		return x, &Failure{Kind: KindTooLarge}
	}
	if s := c.Services[x.service]; s != nil {
		x.engine = s.Engine
	}
	x.setDeadline()
	if err := x.setPlacement(); err != nil {
		return x, err
	}
	return x, x.checkQuarantine()
}

// checkQuarantine fails if the request, or segments of its prompt, crash targets and it is no trial.
func (x *exchange) checkQuarantine() error {
	now := x.g.Clock.Now()
	if x.g.CrashTracker.Quarantined(now, x.fingerprint) {
		return &Failure{Kind: KindCrashesTargets}
	}
	quarantined, found := x.g.SegmentTracker.Quarantined(now, x.fingerprint, x.segments)
	if !found || x.g.SegmentTracker.Try(now, x.fingerprint, x.segments) {
		return nil
	}
	if len(quarantined) == 0 {
		return &Failure{Kind: KindCrashesTargets}
	}
	cause := &CrashingSegmentsError{}
	for _, i := range quarantined {
		cause.Segments = append(cause.Segments, x.r.Prompt[i].ID)
	}
	return &Failure{Kind: KindCrashesTargets, Cause: cause}
}

// rejection returns the client error only if the configuration was verified recently.
// An older one may lack a new route or key, so the request is refused with a retry time.
func (g *Gateway) rejection(age time.Duration, kind Kind) *Failure {
	if age > g.settings().ConfigurationBound {
		return &Failure{Kind: KindRefused, RetryAfter: jitter(shortRetryAfter), Cause: ErrUnverified}
	}
	return &Failure{Kind: kind}
}

func (x *exchange) setDeadline() {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if x.r.ClientTimeout > 0 {
		timeout = min(timeout, x.r.ClientTimeout)
	}
	x.deadline = x.r.Received.Add(timeout)
}

const (
	// segmentBytes and blockBytes are what is held of a segment and of a block of a prompt: the
	// segment with its hash and its share of a slice that grows, the hash of the block.
	segmentBytes = 64
	blockBytes   = 8
	// memoryRetryAfter covers the time after which stalled clients give way.
	memoryRetryAfter = 2 * time.Second
)

// setPlacement prepares the inputs of placement and crash detection. It fails if there is no
// memory for them.
func (x *exchange) setPlacement() error {
	account := ""
	if x.account != nil {
		account = x.account.Name
	}
	x.scope = x.config.CacheScope(x.account)
	x.fingerprint = retry.FingerprintOf(account, x.r.Path, string(x.r.Body))
	if x.engine == nil {
		return nil
	}
	// No engine holds the blocks behind its capacity.
	limit := x.engine.CacheTokens / placement.PartBlockTokens
	bytes := int64(segmentBytes*len(x.r.Prompt) + blockBytes*placement.CountPartBlocks(x.r.Prompt, limit))
	if !x.memory().Take(bytes) {
		return &Failure{Kind: KindRefused, RetryAfter: jitter(memoryRetryAfter), Cause: ErrNoMemory}
	}
	x.promptBytes = bytes
	for _, s := range x.shared() {
		x.segments = append(x.segments, retry.SegmentHashOf(s.ID))
	}
	scope := port.Scope{ClientAccount: x.scope, Model: x.r.Model}
	x.placementRequest = placement.Request{Scope: scope, Blocks: placement.PartBlocks(scope, x.r.Prompt, limit),
		BlockTokens: placement.PartBlockTokens, PromptTokens: x.r.PromptTokens,
		OutputTokens: x.r.MaxOutputTokens, PromptBytes: len(x.r.Body), CanFetch: x.engine.LinkMbps > 0}
	return nil
}

// serve charges and admits the request and makes attempts until one succeeds or no retry is allowed.
func (x *exchange) serve(ctx context.Context) error {
	defer x.dropHeld()
	ctx, cancel := context.WithDeadlineCause(ctx, time.Now().Add(x.deadline.Sub(x.g.Clock.Now())), ErrRouteTimeout)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(x.g.running, func() { end(context.Cause(x.g.running)) })()
	defer context.AfterFunc(ctx, x.sink.Expire)()
	if !x.fitsStop() {
		return x.refuseStopping()
	}
	if err := x.charge(ctx); err != nil {
		return err
	}
	err := x.admitAndSend(ctx)
	if err != nil {
		x.refund()
	}
	return err
}

// admitAndSend waits for capacity and makes attempts.
func (x *exchange) admitAndSend(ctx context.Context) error {
	x.g.retryLimiter(x.service).CountRequest(x.g.Clock.Now())
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
		if !x.fitsStop() {
			return x.refuseStopping()
		}
		t, err := x.choose(ctx, started)
		if err != nil {
			return x.giveUp(ctx, retrypolicy.NotRun, err)
		}
		if x.running == nil {
			x.running = x.g.durations.Start(x.route.Name, x.g.Clock.Now())
			defer func() { x.g.durations.End(x.running, x.g.Clock.Now(), x.succeeded) }()
		}
		outcome, err := x.attempt(ctx, t, started)
		if err == nil {
			return nil
		}
		x.history.Add(outcome)
		x.lastCause = err
		if ctx.Err() != nil || x.unplaced || !retrypolicy.MayRetry(x.route, x.history, outcome) {
			return x.giveUp(ctx, outcome, err)
		}
		if !x.g.spendRetryBudget(x.service) {
			x.g.Metrics.Add(MetricRepeatsOverBudget, 1)
			return x.giveUp(ctx, outcome, errors.Join(ErrRetryBudget, err))
		}
		x.g.Metrics.Add(MetricRepeats, 1)
		x.g.Log.LogAttrs(ctx, slog.LevelInfo, "repeated", slog.String("request", x.r.ID), slog.String("target", t.ID),
			slog.Int("runs", x.history.PossibleRuns), slog.Int("refusals", x.history.Refusals), slog.String("why", err.Error()))
	}
}

// fitsStop reports whether the request may begin to run before a planned stop. One that
// may have begun is not refused any more.
func (x *exchange) fitsStop() bool {
	s := x.g.stop.Load()
	if s == nil || x.history.PossibleRuns > 0 {
		return true
	}
	return s.Admits(x.g.Clock.Now(), shutdown.Request{Arrived: x.r.Begun, Deadline: x.deadline, Duration: x.g.durations.Expected(x.route.Name, x.g.Clock.Now())})
}

func (x *exchange) refuseStopping() error {
	return &Failure{Kind: KindRefused, RetryAfter: jitter(stoppingRetryAfter), Cause: ErrStopping}
}

// notAdmitted refuses a request that cannot be served in time, with the time until the
// queue has drained as retry time.
func (x *exchange) notAdmitted(ctx context.Context, err error) error {
	var refused *limits.RefusedError
	if errors.As(err, &refused) {
		x.g.Metrics.Add(MetricNotAdmitted, 1)
		x.g.Metrics.Add(MetricNotAdmitted+"_"+refused.Cause(), 1)
		x.g.Log.LogAttrs(ctx, slog.LevelInfo, "not admitted", append(refused.Attrs(), slog.String("request", x.r.ID))...)
		x.retryAfter = refused.RetryAfter
	}
	return x.giveUp(ctx, retrypolicy.NotRun, err)
}

// Retry-After times of refused clients, before jitter.
const (
	// shortRetryAfter covers the start of a router or the busy backoff of a target.
	shortRetryAfter = 300 * time.Millisecond
	// stoppingRetryAfter is short: another router takes the request at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// longRetryAfter covers the failed readiness checks after which the load balancer
	// sends clients to routers that can reach the log.
	longRetryAfter = 2 * time.Second
)

// jitter returns a random time between half of the wait and one and a half of it, so that
// refused clients do not retry together.
func jitter(wait time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(wait))
}

// refusedRetryAfter returns the time after which a refused client should come back. While all
// targets wait, that is when the first of them takes requests, spread so that the clients do
// not come together.
func (x *exchange) refusedRetryAfter() time.Duration {
	x.usable(x.g.Clock.Now(), false)
	if !x.blocked.stated {
		return jitter(max(x.retryAfter, shortRetryAfter))
	}
	wait := x.blocked.wait
	spread := max(wait/2, shortRetryAfter)
	return max(wait+time.Duration(rand.Float64()*float64(spread)), jitter(x.retryAfter))
}

// giveUp decides the final response or failure.
func (x *exchange) giveUp(ctx context.Context, last retrypolicy.Outcome, cause error) error {
	f := &Failure{Cause: cause, RetryAfter: jitter(max(x.retryAfter, shortRetryAfter))}
	var own *Failure
	switch {
	case clientDisconnected(ctx):
		f.Kind = KindClientGone
	case x.held != nil && !x.committed && ctx.Err() == nil:
		return x.sendHeldFailure()
	case errors.As(cause, &own):
		return own
	case retrypolicy.ChooseFinalAction(x.history, last) == retrypolicy.Abort || x.committed:
		f.Kind = KindAborted
	case retrypolicy.ChooseFinalAction(x.history, last) == retrypolicy.Refuse:
		f.Kind, f.RetryAfter = KindRefused, x.refusedRetryAfter()
		if x.history.Refusals > 0 {
			x.g.limits.Refused(x.service, uint64(x.fingerprint), f.RetryAfter)
		}
	case ctx.Err() != nil:
		f.Kind = KindTimeout
	default:
		f.Kind = KindUnknown
	}
	return f
}

// session returns the id of the longest prompt prefix that is shared with other requests.
func (x *exchange) session() string {
	if shared := x.shared(); len(shared) > 0 {
		return shared[len(shared)-1].ID
	}
	return ""
}

// shared returns the segments of the prompt that other requests may share: all but the
// last, which is the request's own.
func (x *exchange) shared() []port.Segment { return x.r.Prompt[:max(0, len(x.r.Prompt)-1)] }

// sharedParts lists the shared segments as ID:TOKENS in their order.
func (x *exchange) sharedParts() string {
	var out []byte
	for _, s := range x.shared() {
		if len(out) > 0 {
			out = append(out, ' ')
		}
		out = append(append(out, s.ID...), ':')
		out = strconv.AppendInt(out, int64(s.Tokens), 10)
	}
	return string(out)
}

// attrs returns log attributes with the inputs of the request's decisions.
func (x *exchange) attrs() []slog.Attr {
	out := []slog.Attr{slog.String("route", x.route.Name), slog.String("service", x.service), slog.Float64("objective_ms", ms(x.route.Objective)),
		slog.String("target", x.lastTarget), slog.Int("sends", x.attempts), slog.Int("runs", x.history.PossibleRuns),
		slog.Int("refusals", x.history.Refusals)}
	if x.unanswered {
		out = append(out, slog.String("fingerprint", x.fingerprint.String()))
	}
	if x.account != nil {
		out = append(out, slog.String("account", x.account.Name))
	}
	if x.queued >= minLoggedWait {
		out = append(out, slog.Float64("queued_ms", ms(x.queued)))
	}
	if x.firstEvent > 0 {
		out = append(out, slog.Float64("first_event_ms", ms(x.firstEvent)))
	}
	if x.over != nil {
		out = append(out, x.over.Attrs()...)
	}
	if x.engine != nil {
		last, _ := x.sequence.Last()
		out = append(out, slog.Uint64("last_event", last))
	}
	return out
}
