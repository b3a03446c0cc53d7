package commands

import (
	"fmt"
	"strings"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/server"
)

// maxWaitingEntries bounds the entries per move in the column "WAITING FOR".
const maxWaitingEntries = 3

func init() {
	Register("moves", "list data centre and version moves",
		"Lists the moves, how far each has come and what keeps it from being done.", &movesCommand{})
}

type movesCommand struct {
	APIOptions
	PageOptions
}

// Execute implements flags.Commander.
func (m *movesCommand) Execute([]string) error {
	var page server.Page[server.MoveState]
	if printed, err := m.getOrPrintJSON("/v1/moves", m.query(), &page); printed || err != nil {
		return err
	}
	t := newTable("ID", "MOVES", "STATE", "SHARE", "WAITING FOR", "DETAIL")
	for _, v := range page.Items {
		waitingFor := strings.Join(v.WaitingFor[:min(len(v.WaitingFor), maxWaitingEntries)], ", ")
		if more := len(v.WaitingFor) - maxWaitingEntries; more > 0 {
			waitingFor += fmt.Sprintf(" and %d more", more)
		}
		t.row(v.ID, v.Subject, v.State, fmt.Sprintf("%.0f%%", 100*v.Share), orDash(waitingFor), orDash(v.Detail))
	}
	t.flush()
	m.printNextHint(page.Next)
	return nil
}
