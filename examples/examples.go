// Package examples holds the settings and rule files of two small deployments.
//
// # Usage
//
//	content := examples.KumasiRules
package examples

import _ "embed"

// KumasiRules is the example rule file of the glove sizing deployment.
//
//go:embed kumasi/rules.txt
var KumasiRules string

// PortLouisRules is the example rule file of the rail-siding deployment.
//
//go:embed portLouis/rules.txt
var PortLouisRules string
