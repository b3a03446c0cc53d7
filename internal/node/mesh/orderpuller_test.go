package mesh

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a change that a daemon misses because the notification of it arrives while
// the daemon still gets the one before from a peer that did not have the later one.
func TestNotificationDuringPullIsNotLost(t *testing.T) {
	g := NewWithT(t)
	pulls, release := make(chan string, 8), make(chan struct{})
	p := &orderPuller{pull: func(_ context.Context, id string) {
		pulls <- id
		<-release
	}}
	p.request("a")
	g.Eventually(pulls, time.Second).Should(Receive(Equal("a")))
	p.request("b")
	p.request("c")
	release <- struct{}{}
	g.Eventually(pulls, time.Second).Should(Receive(Equal("c")))
	close(release)
	g.Consistently(pulls, 50*time.Millisecond).ShouldNot(Receive())
	p.request("")
	p.request("d")
	g.Eventually(pulls, time.Second).Should(Receive(Equal("d")))
}
