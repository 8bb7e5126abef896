package dissemination

import (
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/history"
)

// TestChangesOfEachSecondLeaveHalfOfTheLink guards against copies of many changes that fill the link of an instance.
func TestChangesOfEachSecondLeaveHalfOfTheLink(t *testing.T) {
	const link, size, seconds = 1_250_000, 300_000, 20
	u := NewUplink(link)
	began := time.Unix(1000, 0)
	sent := 0
	for at := time.Duration(0); at < seconds*time.Second; at += 10 * time.Millisecond {
		version := uint64(1 + at/time.Second)
		if _, ok := u.Admit(began.Add(at), Copy{Table: "op", At: history.Position{Version: version}, Bytes: size}); ok {
			sent += size
		}
	}
	most := int(uplinkShare*link*(seconds+maxBacklog.Seconds())) + size
	if sent > most || sent < most/2 {
		t.Errorf("%d bytes in %d s, at most %d wanted", sent, seconds, most)
	}
}

// TestSmallCopyIsNeverRefused guards against a departure that waits behind a large configuration.
func TestSmallCopyIsNeverRefused(t *testing.T) {
	u := NewUplink(1_250_000)
	now := time.Unix(1000, 0)
	at := history.Position{Version: 1}
	if _, ok := u.Admit(now, Copy{Table: "op", At: at, Bytes: 8 << 20}); !ok {
		t.Fatal("a large copy is refused by an idle instance")
	}
	if retryAfter, ok := u.Admit(now, Copy{Table: "op", At: at, Bytes: 8 << 20}); ok || retryAfter <= 0 {
		t.Errorf("a second large copy: admitted %v, retry after %v", ok, retryAfter)
	}
	if _, ok := u.Admit(now, Copy{Table: "servers", At: at, Bytes: SmallBytes}); !ok {
		t.Error("a small copy is refused")
	}
}
