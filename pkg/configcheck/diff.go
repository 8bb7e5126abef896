package configcheck

import (
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/fescuestep/fescuestep/pkg/routing"
)

// Change is one difference between two configurations.
type Change struct {
	Entry string
	What  string // "added", "removed", or the field with its old and its new value
}

// String returns the change as one line.
func (c Change) String() string { return c.Entry + ": " + c.What }

// Diff returns what differs in next from the version in force, ordered by kind and name.
// Keys are counted, not shown.
func Diff(inForce, next routing.Config) []Change {
	var out []Change
	if next.Version <= inForce.Version {
		out = append(out, Change{"version", fmt.Sprintf("%d is not higher than %d in force, so no instance adopts it", next.Version, inForce.Version)})
	}
	out = append(out, diffEntries("route", inForce.Routes, next.Routes, func(r routing.Route) string { return r.Name })...)
	out = append(out, diffEntries("service", inForce.Services, next.Services, func(s routing.Service) string { return s.Name })...)
	out = append(out, diffEntries("customer", inForce.Customers, next.Customers, func(c routing.Customer) string { return c.Name })...)
	out = append(out, diffKeys(inForce.Keys, next.Keys)...)
	return append(out, diffFields("limits", reflect.ValueOf(inForce.Limits), reflect.ValueOf(next.Limits))...)
}

func diffEntries[T any](kind string, before, after []T, name func(T) string) []Change {
	byName := func(list []T) map[string]T {
		out := make(map[string]T, len(list))
		for _, e := range list {
			out[name(e)] = e
		}
		return out
	}
	old, now := byName(before), byName(after)
	names := slices.Collect(maps.Keys(old))
	for n := range now {
		if _, ok := old[n]; !ok {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	var out []Change
	for _, n := range names {
		was, had := old[n]
		is, has := now[n]
		switch {
		case !has:
			out = append(out, Change{entry(kind, n), "removed"})
		case !had:
			out = append(out, Change{entry(kind, n), "added"})
		default:
			out = append(out, diffFields(entry(kind, n), reflect.ValueOf(was), reflect.ValueOf(is))...)
		}
	}
	return out
}

// diffFields returns the fields in which two values of the same type differ. Fields that
// are structs or pointers to structs are compared field by field.
func diffFields(name string, before, after reflect.Value) []Change {
	var out []Change
	for i := range before.NumField() {
		field := before.Type().Field(i)
		was, is := before.Field(i), after.Field(i)
		if reflect.DeepEqual(was.Interface(), is.Interface()) {
			continue
		}
		if was.Kind() == reflect.Pointer && !was.IsNil() && !is.IsNil() {
			out = append(out, diffFields(name+" "+field.Name, was.Elem(), is.Elem())...)
			continue
		}
		out = append(out, Change{name, fmt.Sprintf("%s: %s -> %s", field.Name, show(was), show(is))})
	}
	return out
}

func show(v reflect.Value) string {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "none"
		}
		v = v.Elem()
	}
	return fmt.Sprintf("%+v", v.Interface())
}

// diffKeys returns how many keys customers gained and lost.
func diffKeys(before, after map[string]string) []Change {
	type count struct{ added, removed int }
	counts := map[string]count{}
	for key, customer := range after {
		if before[key] != customer {
			c := counts[customer]
			c.added++
			counts[customer] = c
		}
	}
	for key, customer := range before {
		if after[key] != customer {
			c := counts[customer]
			c.removed++
			counts[customer] = c
		}
	}
	var out []Change
	for _, customer := range slices.Sorted(maps.Keys(counts)) {
		c := counts[customer]
		out = append(out, Change{entry("customer", customer), fmt.Sprintf("keys: %d added, %d removed", c.added, c.removed)})
	}
	return out
}
