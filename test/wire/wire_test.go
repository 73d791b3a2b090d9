// Package wire_test checks that the messages between processes, the commands in the log and the stored state stay readable for
// the version before. The policy is in docs/versions.md.
package wire_test

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/relay"
)

func TestWire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Wire")
}

// listFile holds a line for each field and method that an earlier version may use.
const listFile = "types.txt"

// describer lists the fields of types that are sent or stored.
type describer struct {
	seen  map[reflect.Type]bool
	lines []string
}

func (d *describer) add(t reflect.Type) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Array {
		t = t.Elem()
	}
	if t.Kind() == reflect.Map {
		d.add(t.Key())
		d.add(t.Elem())
		return
	}
	if t.Kind() != reflect.Struct || d.seen[t] || !strings.Contains(t.PkgPath(), "wisteriamux") {
		return
	}
	d.seen[t] = true
	for field := range t.Fields() {
		if !field.IsExported() {
			continue
		}
		line := fmt.Sprintf("%s.%s %s", t, field.Name, field.Type)
		if tag := field.Tag.Get("cbor"); tag != "" {
			line += " cbor:" + tag
		}
		d.lines = append(d.lines, line)
		d.add(field.Type)
	}
}

// addService adds the RPC methods of a service and their messages.
func (d *describer) addService(name string, t reflect.Type) {
	for method := range t.Methods() {
		if method.Type.NumIn() != 3 || method.Type.NumOut() != 1 || method.Type.In(2).Kind() != reflect.Pointer {
			continue
		}
		d.lines = append(d.lines, fmt.Sprintf("method %s.%s(%s) %s", name, method.Name, method.Type.In(1), method.Type.In(2).Elem()))
		d.add(method.Type.In(1))
		d.add(method.Type.In(2))
	}
}

func describe() []string {
	d := &describer{seen: map[reflect.Type]bool{}}
	d.addService("Control", reflect.TypeFor[*control.Service]())
	for _, t := range []reflect.Type{
		reflect.TypeFor[relay.RunArgs](), reflect.TypeFor[relay.BatchReport](), reflect.TypeFor[relay.ForwardArgs](), reflect.TypeFor[relay.ForwardReply](),
		reflect.TypeFor[relay.CancelForwardArgs](), reflect.TypeFor[relay.PermitArgs](), reflect.TypeFor[relay.PermitReply](),
		reflect.TypeFor[relay.CreditsArgs](), reflect.TypeFor[relay.CreditsReply](), reflect.TypeFor[relay.TakeOverArgs](), reflect.TypeFor[relay.TakeOverReply](),
		reflect.TypeFor[relay.NextArgs](), reflect.TypeFor[relay.CancelArgs](),
		reflect.TypeFor[ownerrpc.BookArgs](), reflect.TypeFor[ownerrpc.ResolveArgs](), reflect.TypeFor[ownerrpc.AttemptReply](),
		reflect.TypeFor[ownerrpc.RenewalsArgs](), reflect.TypeFor[ownerrpc.RenewalsReply](), reflect.TypeFor[ownerrpc.SubmitArgs](),
		reflect.TypeFor[ownerrpc.SubmitReply](), reflect.TypeFor[ownerrpc.CollectArgs](), reflect.TypeFor[ownerrpc.CollectReply](),
		reflect.TypeFor[ownerrpc.CancelArgs](), reflect.TypeFor[ownerrpc.CancelReply](),
		reflect.TypeFor[controlstate.Command](), reflect.TypeFor[controlstate.Result](), reflect.TypeFor[controlstate.Booking](), reflect.TypeFor[registry.Contents](),
	} {
		d.add(t)
	}
	slices.Sort(d.lines)
	return slices.Compact(d.lines)
}

// compare returns the listed lines that are missing and the lines that are not listed.
func compare(listed, current []string) (missing, added []string) {
	for _, line := range listed {
		if !slices.Contains(current, line) {
			missing = append(missing, line)
		}
	}
	for _, line := range current {
		if !slices.Contains(listed, line) {
			added = append(added, line)
		}
	}
	return missing, added
}

func readList() []string {
	text, err := os.ReadFile(listFile)
	Expect(err).NotTo(HaveOccurred())
	return strings.Split(strings.TrimSpace(string(text)), "\n")
}

var _ = Describe("messages, log commands and stored state", func() {
	It("keep every field and method that the version before may use, under the same name and type", func() {
		if os.Getenv("WMUX_ADD_WIRE") != "" {
			var listed []string
			if _, err := os.Stat(listFile); err == nil {
				listed = readList()
			}
			_, added := compare(listed, describe())
			all := append(listed, added...)
			slices.Sort(all)
			Expect(os.WriteFile(listFile, []byte(strings.Join(all, "\n")+"\n"), 0o600)).To(Succeed())
		}
		missing, added := compare(readList(), describe())
		Expect(missing).To(BeEmpty(), "these were removed, renamed or changed in type; see docs/versions.md")
		Expect(added).To(BeEmpty(), "list new ones with WMUX_ADD_WIRE=1 go test ./test/wire")
	})

	It("are found to differ when a field is renamed, or changes its type", func() {
		missing, added := compare([]string{"a.B int", "a.C string"}, []string{"a.B int64", "a.D string"})
		Expect(missing).To(Equal([]string{"a.B int", "a.C string"}))
		Expect(added).To(Equal([]string{"a.B int64", "a.D string"}))
	})
})
