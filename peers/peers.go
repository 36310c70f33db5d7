// Package peers is the protocol by which entry instances report suspects to one
// another: requests that were running when an endpoint crashed, and parts of their
// prompts. The reports let every instance quarantine what crashes endpoints.
package peers

import (
	"context"
	"time"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

// maxSuspectsPerReport bounds the suspects that are accepted from one report.
const maxSuspectsPerReport = 4096

// EncodeReport returns the message that reports the given suspects.
func EncodeReport(suspects []quarantine.Suspect) *rpc.SuspectReport {
	report := &rpc.SuspectReport{}
	for _, s := range suspects {
		report.Suspects = append(report.Suspects, encodeSuspect(s))
	}
	return report
}

// Service receives the reports of other instances. It implements rpc.Peer.
type Service struct {
	// Receive is called for the suspects of each report, from any goroutine.
	Receive func([]quarantine.Suspect)
	// Convictions returns the convictions that this instance knows; nil for none.
	Convictions func() []quarantine.Suspect
}

// Suspect passes the suspects of a report to Receive, up to maxSuspectsPerReport.
func (s Service) Suspect(_ context.Context, report *rpc.SuspectReport) (*rpc.SuspectAnswer, error) {
	if suspects := decodeSuspects(report.GetSuspects()); len(suspects) > 0 {
		s.Receive(suspects)
	}
	answer := &rpc.SuspectAnswer{}
	if report.GetFetchConvictions() && s.Convictions != nil {
		answer.Convictions = EncodeReport(s.Convictions()).GetSuspects()
	}
	return answer, nil
}

// encodeSuspect returns the message for a suspect.
func encodeSuspect(s quarantine.Suspect) *rpc.CrashSuspect {
	if s.Cleared && s.Part == 0 {
		return &rpc.CrashSuspect{ClearedRequest: uint64(s.Fingerprint), AgeNanos: int64(s.Age)}
	}
	return &rpc.CrashSuspect{
		Fingerprint: uint64(s.Fingerprint),
		Endpoint:    string(s.Incarnation.Endpoint),
		Boot:        string(s.Incarnation.Boot),
		Likely:      s.CrashPoint.Likely,
		Tokens:      int64(s.CrashPoint.AttemptTokens),
		Position:    int64(s.CrashPoint.AnswerTokens),
		Convicted:   s.Convicted,
		AgeNanos:    int64(s.Age),
		RanNanos:    int64(s.CrashPoint.SinceFirstToken),
		Part:        uint64(s.Part),
		Proven:      s.Proven,
		Cleared:     s.Cleared,
		Convictions: int64(s.Convictions),
		Released:    s.Released,
		UpNanos:     int64(s.UpBefore),
	}
}

// decodeSuspects is the inverse of encodeSuspect for a list, up to maxSuspectsPerReport.
func decodeSuspects(list []*rpc.CrashSuspect) []quarantine.Suspect {
	var suspects []quarantine.Suspect
	for _, s := range list[:min(len(list), maxSuspectsPerReport)] {
		suspects = append(suspects, decodeSuspect(s))
	}
	return suspects
}

// decodeSuspect is the inverse of encodeSuspect. Negative durations become 0.
func decodeSuspect(s *rpc.CrashSuspect) quarantine.Suspect {
	age := time.Duration(max(s.GetAgeNanos(), 0))
	if f := s.GetClearedRequest(); f != 0 {
		return quarantine.Suspect{Fingerprint: tables.Fingerprint(f), Cleared: true, Age: age}
	}
	return quarantine.Suspect{
		Fingerprint: tables.Fingerprint(s.GetFingerprint()),
		Incarnation: quarantine.Incarnation{
			Endpoint: tables.EndpointID(s.GetEndpoint()),
			Boot:     tables.BootID(s.GetBoot()),
		},
		UpBefore: time.Duration(max(s.GetUpNanos(), 0)),
		CrashPoint: quarantine.CrashPoint{
			Likely:          s.GetLikely(),
			AttemptTokens:   int(s.GetTokens()),
			AnswerTokens:    int(s.GetPosition()),
			SinceFirstToken: time.Duration(max(s.GetRanNanos(), 0)),
		},
		Convicted:   s.GetConvicted(),
		Age:         age,
		Part:        quarantine.Part(s.GetPart()),
		Proven:      s.GetProven(),
		Cleared:     s.GetCleared(),
		Convictions: int(max(s.GetConvictions(), 0)),
		Released:    s.GetReleased(),
	}
}
