package shift

import "gitlab.com/cranberrytack/cranberrytack/internal/fleet/rank"

// JudgeCount is the number of daemons that compare the versions of one service.
// The judges work independently; there are several so that some remain if
// others fail.
const JudgeCount = 3

// SelectJudges returns the members that judge a service.
func SelectJudges(service string, members []string) []string {
	return rank.Top(service, members, JudgeCount)
}
