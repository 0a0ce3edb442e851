#include "observe/metrics.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>

#include "core/core.h"

namespace jackdawturn {

namespace {

bool IsMetricName(const std::string& name) {
  const auto is_letter = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_';
  };
  return !name.empty() && is_letter(name[0]) &&
         std::all_of(name.begin(), name.end(), [&](char c) {
           return is_letter(c) || (c >= '0' && c <= '9');
         });
}

// Quotes are escaped in label values, but not in help texts.
std::string Escape(const std::string& text, bool quotes) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '\\' || (quotes && c == '"'))
      escaped += '\\';
    escaped += c;
  }
  return escaped;
}

std::string RenderLabels(const MetricLabels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    VERIFY(IsMetricName(name));
    text +=
        (text.empty() ? "" : ",") + name + "=\"" + Escape(value, true) + '"';
  }
  return text;
}

std::string RenderNumber(double value) {
  if (std::isnan(value))
    return "NaN";
  if (std::isinf(value))
    return value > 0 ? "+Inf" : "-Inf";
  std::array<char, 64> text{};
  const auto [end, error] =
      std::to_chars(text.data(), text.data() + text.size(), value);
  VERIFY(error == std::errc());
  return {text.data(), end};
}

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void AddSample(const std::string& name,
               const std::string& labels,
               const std::string& value,
               std::string& text) {
  text += name;
  if (!labels.empty())
    text += '{' + labels + '}';
  text += ' ' + value + '\n';
}

void RenderLatency(const std::string& name,
                   const std::string& labels,
                   const LatencyQuantiles& latency,
                   std::string& text) {
  const LatencyQuantiles::Summary summary = latency.Summarize();
  for (size_t index = 0; index < summary.quantiles.size(); ++index) {
    const double value = summary.count == 0
                             ? std::numeric_limits<double>::quiet_NaN()
                             : ToSeconds(summary.quantiles[index]);
    std::string all_labels = labels;
    all_labels += labels.empty() ? "quantile=\"" : ",quantile=\"";
    all_labels += RenderNumber(LatencyQuantiles::kProbabilities[index]);
    all_labels += '"';
    AddSample(name, all_labels, RenderNumber(value), text);
  }
  AddSample(name + "_sum", labels, RenderNumber(ToSeconds(summary.sum)), text);
  AddSample(name + "_count", labels, std::to_string(summary.count), text);
}

}  // namespace

MetricCounter& MetricRegistry::FindCounter(const std::string& name,
                                           const std::string& help,
                                           const MetricLabels& labels) {
  std::lock_guard lock(m_mutex);
  return FindSeries(name, help, Type::kCounter, labels).counter;
}

MetricGauge& MetricRegistry::FindGauge(const std::string& name,
                                       const std::string& help,
                                       const MetricLabels& labels) {
  std::lock_guard lock(m_mutex);
  return FindSeries(name, help, Type::kGauge, labels).gauge;
}

LatencyQuantiles& MetricRegistry::FindLatency(const std::string& name,
                                              const std::string& help,
                                              const MetricLabels& labels) {
  std::lock_guard lock(m_mutex);
  return *FindSeries(name, help, Type::kLatency, labels).latency;
}

void MetricRegistry::AddGaugeFunction(const std::string& name,
                                      const std::string& help,
                                      const MetricLabels& labels,
                                      std::function<double()> read) {
  std::lock_guard lock(m_mutex);
  FindSeries(name, help, Type::kGauge, labels).read = std::move(read);
}

MetricRegistry::Series& MetricRegistry::FindSeries(const std::string& name,
                                                   const std::string& help,
                                                   Type type,
                                                   const MetricLabels& labels) {
  VERIFY(IsMetricName(name));
  const auto [found, is_new] = m_families.try_emplace(name);
  Family& family = found->second;
  if (is_new) {
    family.type = type;
    family.help = help;
  }
  VERIFY(family.type == type);
  std::string key = RenderLabels(labels);
  if (family.series.size() >= kMaxSeries && !family.series.contains(key)) {
    MetricLabels shared = labels;
    for (auto& [label, value] : shared)
      value = "other";
    key = RenderLabels(shared);
  }
  std::unique_ptr<Series>& series = family.series[key];
  if (!series) {
    series = std::make_unique<Series>();
    if (type == Type::kLatency)
      series->latency = std::make_unique<LatencyQuantiles>();
  }
  return *series;
}

std::string MetricRegistry::Render() const {
  std::lock_guard lock(m_mutex);
  std::string text;
  for (const auto& [name, family] : m_families) {
    constexpr std::array<const char*, 3> kTypeNames = {"counter", "gauge",
                                                       "summary"};
    text += "# HELP " + name + ' ' + Escape(family.help, false) + '\n';
    text += "# TYPE " + name + ' ' +
            kTypeNames[static_cast<size_t>(family.type)] + '\n';
    for (const auto& [labels, series] : family.series)
      RenderSeries(name, family.type, labels, *series, text);
  }
  return text;
}

void MetricRegistry::RenderSeries(const std::string& name,
                                  Type type,
                                  const std::string& labels,
                                  const Series& series,
                                  std::string& text) {
  if (type == Type::kCounter)
    AddSample(name, labels, std::to_string(series.counter.value()), text);
  else if (type == Type::kLatency)
    RenderLatency(name, labels, *series.latency, text);
  else
    AddSample(name, labels,
              RenderNumber(series.read ? series.read() : series.gauge.value()),
              text);
}

}  // namespace jackdawturn
