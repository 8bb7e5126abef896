package table_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/standin/table"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T) (*table.Server, *external.TableClient) {
	t.Helper()
	server, err := table.Start("", table.Options{})
	if err != nil {
		t.Fatal(err)
	}
	client := external.NewTableClient(server.Addr(), 5*time.Second)
	t.Cleanup(func() { client.Close(); server.Close() })
	return server, client
}

func put(token, key, value string, condition ...external.Condition) external.Txn {
	return external.Txn{Token: token, Conditions: condition, Writes: []external.Write{{Key: key, Value: []byte(value)}}}
}

// TestTransactions guards against a transaction taking effect in part or
// although its condition fails, and against scans that skip or repeat rows.
func TestTransactions(t *testing.T) {
	_, client := start(t)
	ctx := context.Background()
	for i := range 5 {
		if _, err := client.Commit(ctx, put(fmt.Sprint("t", i), fmt.Sprintf("a/%d", i), "v")); err != nil {
			t.Fatal(err)
		}
	}
	txn := put("t9", "b", "w", external.Condition{Key: "a/0", Version: 9})
	if _, err := client.Commit(ctx, txn); !errors.Is(err, external.ErrConflict) {
		t.Fatalf("got %v, want ErrConflict", err)
	}
	rows, err := client.Get(ctx, "b", "a/1")
	if err != nil {
		t.Fatal(err)
	}
	want := []external.Row{{Key: "b"}, {Key: "a/1", Value: []byte("v"), Version: 2, Token: "t1"}}
	if diff := cmp.Diff(want, rows); diff != "" {
		t.Error(diff)
	}
	var keys []string
	for after := ""; ; {
		rows, err := client.Scan(ctx, "a/", after, 2)
		if err != nil {
			t.Fatal(err)
		}
		if len(rows) == 0 {
			break
		}
		for _, row := range rows {
			keys = append(keys, row.Key)
		}
		after = rows[len(rows)-1].Key
	}
	if diff := cmp.Diff([]string{"a/0", "a/1", "a/2", "a/3", "a/4"}, keys); diff != "" {
		t.Error(diff)
	}
}

// TestFaultErrors guards against a lost answer that is reported as not
// written, and against an outage that is reported as unknown.
func TestFaultErrors(t *testing.T) {
	server, client := start(t)
	ctx := context.Background()
	cases := []struct {
		name    string
		faults  table.Faults
		want    error
		written bool
	}{
		{"answer lost", table.Faults{LoseAnswers: 1}, external.ErrOutcomeUnknown, true},
		{"commit lost", table.Faults{LoseCommits: 1}, external.ErrOutcomeUnknown, false},
		{"down", table.Faults{Down: true}, external.ErrUnavailable, false},
	}
	for _, c := range cases {
		server.Store.Faults.Set(c.faults)
		_, err := client.Commit(ctx, put(c.name, c.name, "v"))
		if !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
		server.Store.Faults.Set(table.Faults{})
		rows, err := client.Get(ctx, c.name)
		if err != nil {
			t.Fatal(err)
		}
		if written := rows[0].Token == c.name; written != c.written {
			t.Errorf("%s: written %v, want %v", c.name, written, c.written)
		}
	}
	if commits := server.Store.Counts().Commits; commits != 1 {
		t.Errorf("%d commits executed, want 1: the client must not repeat", commits)
	}
}

// TestTimeoutAndRefusal guards against a commit whose answer is late being
// reported as not written, and a refused connection as unknown.
func TestTimeoutAndRefusal(t *testing.T) {
	server, client := start(t)
	server.Store.Faults.Set(table.Faults{AnswerDelay: time.Minute})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for server.Store.Counts().Commits == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	if _, err := client.Commit(ctx, put("t", "k", "v")); !errors.Is(err, external.ErrOutcomeUnknown) {
		t.Errorf("got %v, want ErrOutcomeUnknown", err)
	}
	server.Close()
	client.Close()
	if _, err := client.Commit(context.Background(), put("t", "k", "v")); !errors.Is(err, external.ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}
