// Package examples embeds the example questionnaires, which the demo and
// tests use.
package examples

import _ "embed"

// UCAB is the questionnaire of a card service with long family histories. Its
// old and new order system share one order space.
//
//go:embed ucab.yaml
var UCAB []byte

// Skovgaard is the questionnaire of an order desk that serves three former
// houses as teams of one customer.
//
//go:embed skovgaard.yaml
var Skovgaard []byte

// All returns the questionnaires by deployment name.
func All() map[string][]byte {
	return map[string][]byte{"ucab": UCAB, "skovgaard": Skovgaard}
}
