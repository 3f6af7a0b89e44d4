package metrics

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"
)

// rule is one alert or recorded series of docs/alerts.yml.
type rule struct {
	Record      string            `yaml:"record"`
	Alert       string            `yaml:"alert"`
	Expr        string            `yaml:"expr"`
	For         string            `yaml:"for"`
	Labels      map[string]string `yaml:"labels"`
	Annotations map[string]string `yaml:"annotations"`
}

func readRules(t *testing.T) []rule {
	t.Helper()
	file, err := os.Open("../../../docs/alerts.yml")
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	var page struct {
		Groups []struct {
			Name  string `yaml:"name"`
			Rules []rule `yaml:"rules"`
		} `yaml:"groups"`
	}
	decoder := yaml.NewDecoder(file)
	decoder.KnownFields(true)
	require.NoError(t, decoder.Decode(&page))
	var rules []rule
	for _, group := range page.Groups {
		rules = append(rules, group.Rules...)
	}
	require.NotEmpty(t, rules)
	return rules
}

// series returns the names of all series with their labels, as "name{a,b}".
func series(m *Metrics) map[string][]string {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		m.registry.Describe(descriptions)
		close(descriptions)
	}()
	form := regexp.MustCompile(`fqName: "([^"]+)".*variableLabels: \{([^}]*)\}`)
	found := map[string][]string{}
	for description := range descriptions {
		parts := form.FindStringSubmatch(description.String())
		found[parts[1]] = strings.Split(parts[2], ",")
	}
	return found
}

func TestAlertsNameSeriesThatExist(t *testing.T) {
	known := series(newMetrics())
	rules := readRules(t)
	var recorded []string
	for _, rule := range rules {
		recorded = append(recorded, rule.Record)
	}
	selector := regexp.MustCompile(`\bchicoryrock[a-z0-9_:]+(?:\{(\w+)=)?`)
	grouping := regexp.MustCompile(`by \(([^)]*)\) \((?:rate\(|increase\()?(chicoryrock_\w+)`)
	for _, rule := range rules {
		for _, match := range selector.FindAllStringSubmatch(rule.Expr, -1) {
			name, _, _ := strings.Cut(match[0], "{")
			if strings.Contains(name, ":") {
				require.Contains(t, recorded, name, rule.Expr)
				continue
			}
			require.Contains(t, known, name, rule.Expr)
			if match[1] != "" {
				require.Contains(t, known[name], match[1], rule.Expr)
			}
		}
		for _, match := range grouping.FindAllStringSubmatch(rule.Expr, -1) {
			require.Subset(t, known[match[2]], strings.Split(match[1], ", "), rule.Expr)
		}
	}
}

func TestAlertsSayWhatToDo(t *testing.T) {
	var names []string
	for _, rule := range readRules(t) {
		if rule.For != "" {
			_, err := time.ParseDuration(rule.For)
			require.NoError(t, err)
		}
		if rule.Record != "" {
			continue
		}
		require.NotContains(t, names, rule.Alert)
		names = append(names, rule.Alert)
		require.True(t, slices.Contains([]string{"page", "ticket"}, rule.Labels["severity"]), rule.Alert)
		require.NotEmpty(t, rule.Annotations["summary"], rule.Alert)
		require.NotEmpty(t, rule.Annotations["description"], rule.Alert)
	}
}
