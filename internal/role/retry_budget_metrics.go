package role

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/oriolebend/oriolebend/internal/reducer/dispatch"
)

// retryBudgetCollector publishes the state of the retry budget of each service in a forwarder. The
// sums of "spent" and "allowed" over all forwarders are those of the site.
type retryBudgetCollector struct {
	budgets func() []dispatch.BudgetStatus

	requests, spent, allowed, forwarders, age *prometheus.Desc
}

func newRetryBudgetCollector(budgets func() []dispatch.BudgetStatus) *retryBudgetCollector {
	describe := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc("oriolebend_retry_budget_"+name, help, []string{"service"}, nil)
	}
	return &retryBudgetCollector{
		budgets:    budgets,
		requests:   describe("requests", "Requests of the last window that count for the retry budget."),
		spent:      describe("spent", "Repeats of the last window that the retry budget counts."),
		allowed:    describe("allowed", "Repeats that the window may hold in this forwarder."),
		forwarders: describe("forwarders", "Number of forwarders by which the slack of the retry budget is divided."),
		age:        describe("forwarders_age_seconds", "Time since a control VM last reported the number of forwarders; -1 means never."),
	}
}

// Describe implements prometheus.Collector.
func (c *retryBudgetCollector) Describe(descriptions chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, descriptions)
}

// Collect implements prometheus.Collector.
func (c *retryBudgetCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, b := range c.budgets() {
		gauge := func(d *prometheus.Desc, value float64) {
			metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, b.Service)
		}
		gauge(c.requests, float64(b.Requests))
		gauge(c.spent, float64(b.Spent))
		gauge(c.allowed, b.Allowed)
		gauge(c.forwarders, float64(b.Forwarders))
		gauge(c.age, b.ForwardersAge.Seconds())
	}
}
