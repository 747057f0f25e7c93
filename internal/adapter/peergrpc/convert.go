package peergrpc

import (
	"time"

	peerv1 "mimosaseam.example/mimosaseam/api/peer/v1"
	"mimosaseam.example/mimosaseam/internal/port"
)

// EncodedSize returns the size in bytes of the message that carries e, so that
// callers can stay within their budget.
func EncodedSize(e port.PeerExchange) int { return sizeOf(toExchange(e)) }

func toExchange(e port.PeerExchange) *peerv1.ExchangeMessage {
	out := &peerv1.ExchangeMessage{
		From:         toMember(e.From),
		Urgent:       e.Urgent,
		Gossip:       toGossip(e.Gossip),
		ConfigOffset: uint64(e.ConfigOffset),
		Summary:      e.Summary,
	}
	for _, c := range e.InFlight {
		out.InFlight = append(out.InFlight, &peerv1.TargetCount{Target: c.Target, Count: uint32(max(c.Count, 0))})
	}
	for _, d := range e.Demand {
		out.Demand = append(out.Demand, &peerv1.AccountDemand{ClientAccount: d.ClientAccount, Demand: float32(d.Demand)})
	}
	return out
}

func fromExchange(m *peerv1.ExchangeMessage) port.PeerExchange {
	out := port.PeerExchange{
		From:         fromMember(m.GetFrom()),
		Urgent:       m.GetUrgent(),
		Gossip:       fromGossip(m.GetGossip()),
		ConfigOffset: port.Offset(m.GetConfigOffset()),
		Summary:      m.GetSummary(),
	}
	for _, c := range m.GetInFlight() {
		out.InFlight = append(out.InFlight, port.TargetCount{Target: c.GetTarget(), Count: int(c.GetCount())})
	}
	for _, d := range m.GetDemand() {
		out.Demand = append(out.Demand, port.AccountDemand{ClientAccount: d.GetClientAccount(), Demand: float64(d.GetDemand())})
	}
	return out
}

func toMember(m port.Member) *peerv1.Member {
	return &peerv1.Member{
		Name: m.Name, Address: m.Address, Region: m.Region, AvailabilityZone: m.AvailabilityZone,
		Incarnation: m.Incarnation, State: peerv1.MemberState(m.State),
	}
}

func fromMember(m *peerv1.Member) port.Member {
	return port.Member{
		Name: m.GetName(), Address: m.GetAddress(), Region: m.GetRegion(), AvailabilityZone: m.GetAvailabilityZone(),
		Incarnation: m.GetIncarnation(), State: port.MemberState(m.GetState()),
	}
}

func toGossip(g port.Gossip) *peerv1.Gossip {
	out := &peerv1.Gossip{MembersHash: g.MembersHash, TargetsHash: g.TargetsHash}
	for _, m := range g.Members {
		out.Members = append(out.Members, toMember(m))
	}
	for _, t := range g.Targets {
		out.Targets = append(out.Targets, &peerv1.TargetMark{
			Target: t.Target, Incarnation: string(t.Incarnation), Version: t.Version, Returned: t.Returned, AgeS: seconds(t.Age),
		})
	}
	for _, f := range g.Fingerprints {
		out.Fingerprints = append(out.Fingerprints, &peerv1.Fingerprint{Value: []byte(f.Value), AgeS: seconds(f.Age), AgeMs: uint32(max(f.Age, 0) / time.Millisecond)})
	}
	return out
}

// fromGossip drops members with a state unknown to this version.
func fromGossip(g *peerv1.Gossip) port.Gossip {
	out := port.Gossip{MembersHash: g.GetMembersHash(), TargetsHash: g.GetTargetsHash()}
	for _, m := range g.GetMembers() {
		if knownState(m.GetState()) {
			out.Members = append(out.Members, fromMember(m))
		}
	}
	for _, t := range g.GetTargets() {
		out.Targets = append(out.Targets, port.TargetMark{
			Target: t.GetTarget(), Incarnation: port.Incarnation(t.GetIncarnation()), Version: t.GetVersion(),
			Returned: t.GetReturned(), Age: time.Duration(t.GetAgeS()) * time.Second,
		})
	}
	for _, f := range g.GetFingerprints() {
		out.Fingerprints = append(out.Fingerprints, port.Fingerprint{
			Value: string(f.GetValue()), Age: max(time.Duration(f.GetAgeS())*time.Second, time.Duration(f.GetAgeMs())*time.Millisecond),
		})
	}
	return out
}

func knownState(s peerv1.MemberState) bool {
	return s >= peerv1.MemberState_MEMBER_STATE_ALIVE && s <= peerv1.MemberState_MEMBER_STATE_DEAD
}

func seconds(d time.Duration) uint32 { return uint32(max(d, 0) / time.Second) }

func toRecords(b port.Batch) *peerv1.PullRecordsResponse {
	out := &peerv1.PullRecordsResponse{Next: uint64(b.Next), Oldest: uint64(b.Oldest), End: uint64(b.End), AgeMs: uint32((b.Age + time.Millisecond - 1) / time.Millisecond)}
	for _, r := range b.Records {
		out.Records = append(out.Records, &peerv1.Record{
			Offset: uint64(r.Offset), Id: r.ID, AppendedAtUs: r.AppendedAt.UnixMicro(), Data: r.Data,
			LastRevision: toRevision(r.LastRevision), Renewed: r.IsRenewed, Final: r.IsFinal,
		})
	}
	return out
}

func fromRecords(m *peerv1.PullRecordsResponse) port.Batch {
	out := port.Batch{Next: port.Offset(m.GetNext()), Oldest: port.Offset(m.GetOldest()), End: port.Offset(m.GetEnd()),
		Age: time.Duration(m.GetAgeMs()) * time.Millisecond}
	for _, r := range m.GetRecords() {
		out.Records = append(out.Records, port.Record{
			Offset: port.Offset(r.GetOffset()), ID: r.GetId(), AppendedAt: time.UnixMicro(r.GetAppendedAtUs()).UTC(), Data: r.GetData(),
			LastRevision: fromRevision(r.GetLastRevision()), IsRenewed: r.GetRenewed(), IsFinal: r.GetFinal(),
		})
	}
	return out
}

func toRevision(r *port.Revision) *peerv1.Revision {
	if r == nil {
		return nil
	}
	return &peerv1.Revision{Epoch: r.Epoch, Number: r.Number}
}

func fromRevision(m *peerv1.Revision) *port.Revision {
	if m == nil {
		return nil
	}
	return &port.Revision{Epoch: m.GetEpoch(), Number: m.GetNumber()}
}
