package hsplatform_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"hyssopseam/core/command/hsagent"
	"hyssopseam/core/hsid"
	"hyssopseam/io/hslog"
	"hyssopseam/io/hsplatform"
)

// list is the result of a request for the list of tasks.
type list struct {
	records []hsagent.Record
	ok      bool
}

// events receives lists of tasks.
type events chan list

func (e events) HandleTaskList(_ hsid.Incarnation, r []hsagent.Record, ok bool) { e <- list{r, ok} }
func (events) HandleStartConfirmed(hsid.Grant)                                  {}
func (events) HandleTaskEnd(hsid.Grant, hsagent.Result)                         {}

// TestOddTask checks that one odd entry in the endpoint's list of tasks, as another writer may leave, doesn't keep the agent
// from learning of the others: it would never take any work.
func TestOddTask(t *testing.T) {
	deep := strings.Repeat(`{"a":[`, 10000) + strings.Repeat(`]}`, 10000)
	tables := []struct {
		name  string
		entry string
	}{
		{"nested very deeply", deep},
		{"a job nested very deeply", `{"job":` + deep + `,"attempt":1}`},
		{"an attempt too large", `{"job":"x","attempt":4294967296,"term":1}`},
		{"a term that no type holds", `{"job":"x","attempt":1,"term":1e999}`},
		{"a number as job", `{"job":7}`},
		{"no job", `{"attempt":1}`},
		{"another type", `["x"]`},
		{"null", `null`},
	}
	for _, tt := range tables {
		endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `[%s,{"job":"j","attempt":1,"term":2,"accelerators":[0]}]`, tt.entry)
		}))
		got := make(events, 1)
		p := hsplatform.New(got, hslog.Discard())
		p.SetAddress(endpoint.Listener.Addr().String())
		p.List(1, 2)
		select {
		case l := <-got:
			if !l.ok || len(l.records) != 1 || l.records[0].Grant != (hsid.Grant{Job: "j", Attempt: 1, Term: 2}) {
				t.Errorf("%s: got %+v, want the task of job j", tt.name, l)
			}
		case <-time.After(time.Minute):
			t.Errorf("%s: got no list, want the task of job j", tt.name)
		}
		p.Close()
		endpoint.Close()
	}
}
