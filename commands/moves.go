package commands

import (
	"fmt"
	"strings"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/server"
)

// maxWaiting bounds the members that a table names.
const maxWaiting = 3

func init() {
	Register("moves", "list data centre and version moves",
		"Lists the moves, how far each has come and what keeps it from being done.", &moves{})
}

type moves struct {
	APIOptions
	PageOptions
}

// Execute runs the command.
func (m *moves) Execute([]string) error {
	var page server.Page[server.MoveState]
	if printed, err := m.get("/v1/moves", m.query(), &page); printed || err != nil {
		return err
	}
	t := newTable("ID", "MOVES", "STATE", "SHARE", "WAITING FOR", "DETAIL")
	for _, v := range page.Items {
		waiting := strings.Join(v.Waiting[:min(len(v.Waiting), maxWaiting)], ", ")
		if more := len(v.Waiting) - maxWaiting; more > 0 {
			waiting += fmt.Sprintf(" and %d more", more)
		}
		t.row(v.ID, v.Subject, v.State, fmt.Sprintf("%.0f%%", 100*v.Share), dash(waiting), dash(v.Detail))
	}
	t.flush()
	m.more(page.Next)
	return nil
}
