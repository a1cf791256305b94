#include "siskindeal/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <memory>

namespace siskindeal {

namespace {

prometheus::Registry&
ProcessRegistry()
{
  static prometheus::Registry sRegistry;
  return sRegistry;
}

const prometheus::Histogram::BucketBoundaries kSecondBuckets = {
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60
};

} // namespace

void
CountMetric(const std::string& aName,
            const MetricLabels& aLabels,
            double aAmount)
{
  prometheus::BuildCounter()
    .Name(aName)
    .Register(ProcessRegistry())
    .Add(aLabels)
    .Increment(aAmount);
}

void
SetMetric(const std::string& aName, double aValue, const MetricLabels& aLabels)
{
  prometheus::BuildGauge()
    .Name(aName)
    .Register(ProcessRegistry())
    .Add(aLabels)
    .Set(aValue);
}

void
ObserveSeconds(const std::string& aName,
               double aSeconds,
               const MetricLabels& aLabels)
{
  prometheus::BuildHistogram()
    .Name(aName)
    .Register(ProcessRegistry())
    .Add(aLabels, kSecondBuckets)
    .Observe(aSeconds);
}

std::string
MetricsText()
{
  return prometheus::TextSerializer().Serialize(ProcessRegistry().Collect());
}

} // namespace siskindeal
