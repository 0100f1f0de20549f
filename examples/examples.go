// Package examples embeds the rule files of two example deployments; their settings files lie beside them.
//
// # Usage
//
//	content := examples.KumasiRules
package examples

import _ "embed"

// KumasiRules is the rule file of the glove sizing deployment in Kumasi.
//
//go:embed kumasi/rules.txt
var KumasiRules string

// PortLouisRules is the rule file of the rail siding deployment in Port Louis.
//
//go:embed portLouis/rules.txt
var PortLouisRules string
