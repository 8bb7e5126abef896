package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/control"
	"github.com/fescuestep/fescuestep/platform"
	"github.com/fescuestep/fescuestep/platform/standin"
)

// oddValues are contents of rows that another writer may leave.
var oddValues = map[string]string{
	"empty":                "",
	"no JSON":              "\x00\xff{",
	"nested":               strings.Repeat(`{"service":`, 30000) + "1" + strings.Repeat("}", 30000),
	"nested lists":         strings.Repeat("[", 90000),
	"null":                 "null",
	"number too large":     `{"service":"orders","address":"127.0.0.1:9","zone":"z1","slots":1e400,"state":"ready","born":1}`,
	"integer too large":    `{"service":"orders","address":"127.0.0.1:9","zone":"z1","slots":99999999999999999999,"state":"ready","born":99999999999999999999}`,
	"largest integers":     `{"service":"orders","address":"127.0.0.1:9","zone":"z1","slots":9223372036854775807,"state":"ready","born":9223372036854775807}`,
	"negative":             `{"service":"orders","address":"127.0.0.1:9","zone":"z1","slots":-9223372036854775808,"state":"ready","born":-1}`,
	"port out of range":    `{"service":"orders","address":"127.0.0.1:99999","zone":"z1","slots":4,"state":"ready","born":1}`,
	"port zero":            `{"service":"orders","address":"127.0.0.1:0","zone":"z1","slots":4,"state":"ready","born":1}`,
	"no address":           `{"service":"orders","zone":"z1","slots":4,"state":"ready","born":1}`,
	"address of a host":    `{"service":"orders","address":"example.org:80","zone":"z1","slots":4,"state":"ready","born":1}`,
	"unknown state":        `{"service":"orders","address":"127.0.0.1:9","zone":"z1","slots":4,"state":"melting","born":1}`,
	"other types":          `{"service":["orders"],"address":7,"zone":{},"slots":"4","state":true,"born":"x"}`,
	"weights of all kinds": `{"service":"llm","address":"127.0.0.1:9","zone":"z1","slots":4,"state":"ready","born":1,"models":[{"name":"m","version":9223372036854775807},{"name":"","version":-5}]}`,
	"instance":             `{"name":"ghost","digests":"127.0.0.1:99999","control":"nowhere","domain":"z1"}`,
	"lease":                `{"holder":7,"token":-1}`,
}

// TestOddRowsHarmThemselvesAlone guards against instances that end, or stop following the store, at a row that another writer has left in any table that they read.
func TestOddRowsHarmThemselvesAlone(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 2)
	running := fleet.startInstance("n0")
	for _, table := range []string{platform.TableUpstreams, platform.TableOperator, platform.TableInstances, platform.TableQuarantines, platform.TableVersions, "fescuestep"} {
		for name, value := range oddValues {
			for _, key := range []string{"odd " + name, "version/" + name, "end-" + name, "line\r\nbreak " + name, strings.Repeat("k", 190) + name[:3]} {
				fleet.store.Put(table, key, []byte(value))
			}
		}
	}
	fleet.store.Put("fescuestep", control.LeaseKey, []byte(oddValues["lease"]))
	started := fleet.startInstance("n1")
	fleet.startUpstream(standin.Options{ID: "o1", Service: "orders", Zone: "z1"})
	fleet.orders.Unregister()
	fleet.config.Routes[3].Prefix = "/renamed/"
	fleet.applyConfig()
	for _, e := range fleet.engines {
		e.AllowVersion(2)
	}
	fleet.store.Put(platform.TableOperator, "version/m", []byte(`{"model":"m","version":2}`))
	for _, instance := range []*testInstance{running, started} {
		fleet.await("the new configuration is in force", func() bool {
			_, got := instance.request(http.MethodGet, "/renamed/x", "", "")
			return got.status == http.StatusOK
		})
	}
	fleet.await("all engines have the new weights", func() bool { return fleet.engines[0].Version() == 2 && fleet.engines[1].Version() == 2 })
	time.Sleep(settleTime) // the removed server is left, whatever else is listed
	for _, instance := range []*testInstance{running, started} {
		failed := map[string]int{}
		for range 40 {
			if _, got := instance.prompt("/long/", keyBig); got.status != http.StatusOK {
				failed[fmt.Sprint("prompt ", got.status)]++
			}
			if _, got := instance.request(http.MethodPost, "/orders/", keyBig, "x"); got.status != http.StatusOK {
				failed[fmt.Sprint("order ", got.status)]++
			}
		}
		if len(failed) > 0 {
			t.Errorf("%s: failed of 40 each: %v", instance.options.Name, failed)
		}
	}
}
