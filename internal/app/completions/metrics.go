package completions

// Names of the counters and durations passed to Metrics.
const (
	MetricRequests          = "requests"
	MetricRefused           = "requests_refused"
	MetricFailed            = "requests_failed"
	MetricAttempts          = "attempts"
	MetricAttemptFailures   = "attempt_failures"
	MetricExtraAttempts     = "extra_attempts"
	MetricHedges            = "hedges"
	MetricStalls            = "stalls"
	MetricCrashes           = "target_crashes"
	MetricExpectationFailed = "expectations_failed"
	MetricPromptTokens      = "prompt_tokens"
	MetricCachedTokens      = "cached_tokens"
	MetricChunks            = "chunks"
	MetricQueueWait         = "queue_wait"
	// MetricQueued counts the requests that were served after a wait for capacity, and
	// MetricNotAdmitted, followed by an underscore and the reason, those that were refused.
	MetricQueued      = "queued"
	MetricNotAdmitted = "not_admitted"
	MetricFirstToken  = "time_to_first_token"
)
