package shift

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/trial"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// Sample holds the call statistics that a guard sends to the judges of its
// service.
type Sample = trial.Sample

// SampleToWire converts a sample to its protobuf message, leaving out empty
// buckets.
func SampleToWire(s *Sample) *wire.Sample {
	w := &wire.Sample{
		Service: s.Service, Route: s.Route, Version: s.Version, Target: s.Target,
		Window: s.Window, Calls: uint32(s.Calls), Errors: uint32(s.Errors), Cold: s.Cold,
	}
	for i, n := range s.Latency {
		if n > 0 {
			w.Bucket = append(w.Bucket, uint32(i))
			w.Count = append(w.Count, uint32(n))
		}
	}
	return w
}

// SampleFromWire converts a protobuf message to a sample. It returns false if
// the counts contradict each other, as a faulty daemon may have sent them.
func SampleFromWire(w *wire.Sample) (Sample, bool) {
	s := Sample{
		Service: w.GetService(), Route: w.GetRoute(), Version: w.GetVersion(), Target: w.GetTarget(),
		Window: w.GetWindow(), Calls: int64(w.GetCalls()), Errors: int64(w.GetErrors()), Cold: w.GetCold(),
	}
	if len(w.GetBucket()) != len(w.GetCount()) || s.Errors > s.Calls {
		return s, false
	}
	var total int64
	for i, b := range w.GetBucket() {
		if b >= call.LatencyBuckets {
			return s, false
		}
		s.Latency[b] += int64(w.GetCount()[i])
		total += int64(w.GetCount()[i])
	}
	return s, total == s.Calls
}

// Notice is the message by which daemons share the milestones of a move.
type Notice struct {
	Move       string
	Revision   int64
	Sender     string
	Milestones Milestones
	Finding    trial.Finding
}

// NoticeToWire converts a notice to its protobuf message.
func NoticeToWire(n *Notice) *wire.Notice {
	f := &n.Finding
	return &wire.Notice{
		Move: n.Move, Revision: n.Revision, Sender: n.Sender,
		WorseAt: float64(n.Milestones.WorseAt), ProvenAt: float64(n.Milestones.ProvenAt), DoneAt: float64(n.Milestones.DoneAt),
		Finding: &wire.Finding{
			Route: f.Route, Metric: f.Metric.String(), Value: f.EValue, Needed: f.RequiredEValue,
			OldCalls: f.OldCalls, OldBad: f.OldBad, NewCalls: f.NewCalls, NewBad: f.NewBad,
			Threshold: float64(f.LatencyThreshold), Targets: uint32(f.NewTargets),
		},
	}
}

// NoticeFromWire converts a protobuf message to a notice. An unknown metric is
// read as trial.Errors.
func NoticeFromWire(w *wire.Notice) Notice {
	f := w.GetFinding()
	n := Notice{
		Move: w.GetMove(), Revision: w.GetRevision(), Sender: w.GetSender(),
		Milestones: Milestones{
			WorseAt: clock.Milli(w.GetWorseAt()), ProvenAt: clock.Milli(w.GetProvenAt()), DoneAt: clock.Milli(w.GetDoneAt()),
		},
		Finding: trial.Finding{
			Route: f.GetRoute(), EValue: f.GetValue(), RequiredEValue: f.GetNeeded(),
			OldCalls: f.GetOldCalls(), OldBad: f.GetOldBad(), NewCalls: f.GetNewCalls(), NewBad: f.GetNewBad(),
			LatencyThreshold: clock.Milli(f.GetThreshold()), NewTargets: int(f.GetTargets()),
		},
	}
	for m := trial.Errors; m <= trial.AboveP97; m++ {
		if m.String() == f.GetMetric() {
			n.Finding.Metric = m
		}
	}
	return n
}
