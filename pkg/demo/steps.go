package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/standin/engine"
	"github.com/fescuestep/fescuestep/rpc/admin"
)

const (
	greetingModel  = "plume-greeting"
	catalogueModel = "desk-catalogue"
)

// eventPause lets cache events reach every instance: they are published with a
// lag and polled.
const eventPause = 600 * time.Millisecond

// nested returns a prompt whose first levels are shared by many requests:
// house rules, a family history of about the given number of tokens, and a
// question of its own.
func nested(topic string, tokens int, question string) string {
	rules := strings.Repeat("Write warmly and briefly, in Breton and French. ", 170)
	line := "In this year the family " + topic + " held a feast by the sea. "
	history := strings.Repeat(line, tokens*4/len(line))
	return rules + history + question
}

func (d *Demo) repeatedPrompt(ctx context.Context) (string, error) {
	prompt := nested("Le Goff", 16_000, "A greeting for the wedding of Anna and Yann.")
	first, err := d.stream(ctx, 0, "shops", greetingModel, prompt, 40)
	if err != nil {
		return "", err
	}
	time.Sleep(eventPause)
	second, err := d.stream(ctx, 1, "shops", greetingModel, prompt, 40)
	if err != nil {
		return "", err
	}
	if second.cached == 0 || second.cached <= first.cached {
		return "", errors.Newf("the second answer used %d cached tokens, the first %d", second.cached, first.cached)
	}
	return fmt.Sprintf("%d prompt tokens; first call at %s: %d cached, first token after %v; second at %s: %d cached, after %v",
		first.prompt, d.node(0).Site.ID, first.cached, first.firstToken.Round(time.Millisecond),
		d.node(1).Site.ID, second.cached, second.firstToken.Round(time.Millisecond)), nil
}

func (d *Demo) sharedCatalogue(ctx context.Context) (string, error) {
	var hits []string
	for i, house := range []string{"first", "second", "third"} {
		prompt := nested("catalogue of ammonites", 12_000, "Which cast series fits the "+house+" house?")
		a, err := d.stream(ctx, i, "museums", catalogueModel, prompt, 20)
		if err != nil {
			return "", err
		}
		if i > 0 && a.cached == 0 {
			return "", errors.Newf("the %s house's request found nothing cached", house)
		}
		hits = append(hits, fmt.Sprintf("%s %d of %d tokens cached", house, a.cached, a.prompt))
		time.Sleep(eventPause)
	}
	return strings.Join(hits, "; "), nil
}

func (d *Demo) repeatedOrder(ctx context.Context) (string, error) {
	body := `{"order_number":"BZH-1001","cards":40}`
	var answers [2]orderAnswer
	var failures [2]error
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			answers[i], failures[i] = d.order(ctx, i, "shops", "/orders-new/orders", body, nil)
		})
	}
	wg.Wait()
	for i := range answers {
		if failures[i] != nil {
			return "", failures[i]
		}
		if answers[i].status != http.StatusOK && answers[i].status != http.StatusCreated {
			return "", errors.Newf("answer %d has status %d: %s", i+1, answers[i].status, answers[i].body)
		}
	}
	runs := d.cluster.Fleets["ucab"].Ledger("atelier").Count("BZH-1001")
	if runs != 1 || answers[0].body != answers[1].body {
		return "", errors.Newf("the order ran %d times, answers %q and %q", runs, answers[0].body, answers[1].body)
	}
	return "sent at two instances at the same time: ran once, both callers have the same answer", nil
}

func (d *Demo) twoOrderSystems(ctx context.Context) (string, error) {
	header := http.Header{"X-Commande": {"BZH-2002"}}
	if _, err := d.order(ctx, 0, "shops", "/orders-old/cards", `{"cards":12}`, header); err != nil {
		return "", err
	}
	second, err := d.order(ctx, 1, "shops", "/orders-new/orders", `{"order_number":"BZH-2002","cards":12}`, nil)
	if err != nil {
		return "", err
	}
	if runs := d.cluster.Fleets["ucab"].Ledger("atelier").Count("BZH-2002"); runs != 1 {
		return "", errors.Newf("the order ran %d times", runs)
	}
	return fmt.Sprintf("ran once; the new system's copy is answered with status %d", second.status), nil
}

func (d *Demo) unknownKey(ctx context.Context) (string, error) {
	a, err := d.call(ctx, 0, "fsk_unknown", greetingModel, "Hello", 5)
	if err != nil {
		return "", err
	}
	return a.expect(http.StatusUnauthorized, code.KeyUnknown)
}

// overRate sends requests until the customer's burst is used up.
func (d *Demo) overRate(ctx context.Context) (string, error) {
	prompt := nested("Kermarrec", 25_000, "A greeting.")
	var admitted int
	for i := range 12 {
		a, err := d.call(ctx, i, d.keys["parish-offices"].GetSecret(), greetingModel, prompt, 10)
		if err != nil {
			return "", err
		}
		if a.status == http.StatusOK {
			admitted++
			continue
		}
		detail, err := a.expect(http.StatusTooManyRequests, code.RateExceeded)
		return fmt.Sprintf("burst 120,000, rate 8,000 tokens/s: %d requests of 27,000 tokens admitted, then %s", admitted, detail), err
	}
	return "", errors.Newf("all %d requests were admitted", admitted)
}

func (d *Demo) revokedKey(ctx context.Context) (string, error) {
	key := d.keys["web-shop"]
	started := time.Now()
	resp, err := d.node(0).Admin.RevokeKey(ctx, &admin.RevokeKeyRequest{Id: key.GetKey().GetId()})
	if err != nil {
		return "", err
	}
	if !resp.GetStatus().GetInForce() {
		return "", errors.Newf("not in force: %s", resp.GetStatus().GetExplanation())
	}
	took := time.Since(started)
	for i := range d.cluster.Nodes() {
		a, err := d.call(ctx, i, key.GetSecret(), greetingModel, "Hello", 5)
		if err != nil {
			return "", err
		}
		if _, err := a.expect(http.StatusUnauthorized, code.KeyRevoked); err != nil {
			return "", errors.Wrapf(err, "instance %s", d.node(i).Site.ID)
		}
	}
	return fmt.Sprintf("in force everywhere after %v, refused by all %d instances", took.Round(time.Millisecond), len(d.cluster.Nodes())), nil
}

func (d *Demo) gracefulStop(ctx context.Context) (string, error) {
	const tokens = 150
	prompt := "A long greeting for the feast of Saint Anne."
	node := d.node(0)
	type result struct {
		answer streamAnswer
		err    error
	}
	results := make(chan result, 1)
	begun := make(chan struct{})
	go func() {
		a, err := d.streamFrom(ctx, node.URL, "shops", greetingModel, prompt, tokens, func() { close(begun) })
		results <- result{a, err}
	}()
	select {
	case <-begun:
	case r := <-results:
		return "", errors.Wrap(r.err, "the stream ended before the stop")
	}
	if err := node.Stop(); err != nil {
		return "", err
	}
	r := <-results
	if r.err != nil {
		return "", r.err
	}
	if want := engine.Answer(rendered(prompt), tokens); r.answer.text != want {
		return "", errors.Newf("the answer has %d bytes instead of %d", len(r.answer.text), len(want))
	}
	return fmt.Sprintf("%s stopped after the stream's first token; all %d events arrived", node.Site.ID, r.answer.events), nil
}
