package gatewaysync

import "time"

const (
	// returnTimeout is how long after an outage of the log removals of its time are read. Writers
	// that are alive write again within 2 s, and reads are up to maxTargetsInterval apart.
	returnTimeout = 3 * time.Second
	// outageHeartbeats is the number of heartbeat intervals without an answered read after which
	// the log counts as having been away. Shorter outages cost hardly any writer its value, and a
	// router that is short of processor time may miss a read.
	outageHeartbeats = 2
	// silentHeartbeats is the number of heartbeat intervals of silence after which the log removes
	// a target's entry.
	silentHeartbeats = 3
	// lateWriteTimeout is how long after the removal of an entry a late heartbeat may still be
	// stored. Writes are up to 6 s late, and a log that has been stable for 4 s loses no more
	// responses.
	lateWriteTimeout = 2 * time.Second
)

// Names of where records were read, in log lines.
const (
	sourceLog  = "log"
	sourcePeer = "peer"
)

// renewsAt returns when the entry that the log holds in place of this one counts as renewed by
// its writer: the log would have removed that of a silent one, even if another late heartbeat
// came after it, and this router would have read it.
func (f *Follower) renewsAt(k *retained) time.Time {
	since := k.olderSince
	if k.value == nil {
		since = k.removedAt
	}
	since = since.Add(lateWriteTimeout)
	if since.Before(k.olderSince) {
		since = k.olderSince
	}
	return since.Add(silentHeartbeats*f.Heartbeat + f.renewalMargin())
}

// renewalMargin is the time that a removal may take beyond the silence until it is read.
func (f *Follower) renewalMargin() time.Duration { return f.Interval + f.Heartbeat/2 }

// renewalTimeout is the longest time for which an entry that holds is ignored or held back.
func (f *Follower) renewalTimeout() time.Duration {
	return lateWriteTimeout + silentHeartbeats*f.Heartbeat + f.renewalMargin()
}

// isFinal reports whether a removal that is read now ends the epoch of the key's value. A writer
// that is alive loses its value only during an outage of the log, after which it goes on
// counting, or while it was cut off or frozen itself.
func (f *Follower) isFinal(key string, now time.Time) bool {
	return f.Reset != nil && now.Sub(f.unavailableAt) >= returnTimeout && (f.IsSilent == nil || !f.IsSilent(key))
}

// observeAnswer records that the log has answered a read that was sent at a time.
func (f *Follower) observeAnswer(sent time.Time) {
	if sent.Sub(f.answeredAt) >= outageHeartbeats*f.Heartbeat {
		f.unavailableAt = f.Clock.Now()
	}
	if sent.After(f.answeredAt) {
		f.answeredAt = sent
	}
}
