//===- plot.cpp - Benchmark results as SVG --------------------------------===//

#include "bench/plot.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include <algorithm>
#include <array>

namespace olivevalve {

namespace {

constexpr double PanelWidth = 420;
constexpr double PanelHeight = 260;
constexpr double Margin = 60;
constexpr std::array<const char *, 8> Colours = {
    "#1b6ca8", "#c44536", "#3a7d44", "#8a4fff",
    "#b08900", "#444444", "#d16ba5", "#008b8b"};

/// The values that an axis spans.
struct range {
  double Low;
  double High;
  /// Position of a value on an axis of \p Pixels length.
  double at(double Value, double Pixels) const {
    return Pixels * (Value - Low) / (High - Low);
  }
};

/// One chart with axes, placed at a position of the document.
class panel {
public:
  panel(double Left, double Top, range X, range Y, const std::string &Title)
      : X(X), Y(Y) {
    absl::StrAppendFormat(
        &Svg,
        "<g transform=\"translate(%.0f %.0f)\"><text x=\"0\" y=\"-8\" "
        "font-weight=\"bold\">%s</text><path d=\"M0 0V%.0fH%.0f\" "
        "fill=\"none\" stroke=\"black\"/>\n",
        Left, Top, Title, PanelHeight, PanelWidth);
    for (double Part : {0.0, 0.5, 1.0}) {
      absl::StrAppendFormat(
          &Svg, "<text x=\"-6\" y=\"%.0f\" text-anchor=\"end\">%.4g</text>\n",
          PanelHeight * (1 - Part) + 4, Y.Low + Part * (Y.High - Y.Low));
      absl::StrAppendFormat(
          &Svg,
          "<text x=\"%.0f\" y=\"%.0f\" text-anchor=\"middle\">%.4g</text>\n",
          PanelWidth * Part, PanelHeight + 16, X.Low + Part * (X.High - X.Low));
    }
  }

  void dot(double AtX, double AtY, size_t Colour) {
    absl::StrAppendFormat(
        &Svg, "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"5\" fill=\"%s\"/>\n",
        X.at(AtX, PanelWidth), PanelHeight - Y.at(AtY, PanelHeight),
        Colours[Colour % Colours.size()]);
  }

  void line(const std::vector<double> &Values, double Step, size_t Colour) {
    std::string Points;
    for (size_t I = 0; I < Values.size(); ++I)
      absl::StrAppendFormat(
          &Points, "%.1f,%.1f ", X.at(double(I) * Step, PanelWidth),
          PanelHeight - Y.at(std::min(Values[I], Y.High), PanelHeight));
    absl::StrAppendFormat(&Svg,
                          "<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" "
                          "stroke-width=\"2\"/>\n",
                          Points, Colours[Colour % Colours.size()]);
  }

  void legend(const std::string &Text, size_t Row, size_t Colour) {
    absl::StrAppendFormat(&Svg,
                          "<text x=\"0\" y=\"%.0f\" fill=\"%s\">%s</text>\n",
                          PanelHeight + 36 + 14 * double(Row),
                          Colours[Colour % Colours.size()], Text);
  }

  std::string text() const { return Svg + "</g>\n"; }

private:
  range X;
  range Y;
  std::string Svg;
};

std::string choicePanel(const std::vector<choice_row> &Rows,
                        const std::string &Workload, double Left) {
  double MaxCost = 0;
  double MinQuality = 1;
  for (const choice_row &Row : Rows)
    if (Row.Workload == Workload) {
      MaxCost = std::max(MaxCost, Row.CostPerThousand);
      MinQuality = std::min(MinQuality, Row.Quality);
    }
  panel Panel(Left, Margin, {0, MaxCost * 1.05}, {MinQuality - 0.02, 1},
              Workload + ": mean quality over cost of 1,000 requests");
  size_t Colour = 0;
  for (const choice_row &Row : Rows) {
    if (Row.Workload != Workload)
      continue;
    Panel.dot(Row.CostPerThousand, Row.Quality, Colour);
    Panel.legend(absl::StrFormat("%s, %.0f%% of cells at target", Row.Policy,
                                 100 * Row.CellsMet),
                 Colour, Colour);
    ++Colour;
  }
  return Panel.text();
}

std::string exposurePanel(const std::vector<rollout_row> &Rows,
                          const std::string &Scenario, double Left,
                          double Top) {
  double MaxExposed = 1;
  size_t Points = 1;
  for (const rollout_row &Row : Rows)
    if (Row.Scenario == Scenario) {
      MaxExposed = std::max(MaxExposed, Row.Curve.back());
      Points = Row.Curve.size();
    }
  panel Panel(Left, Top, {0, double(CurveStep) * double(Points)},
              {0, MaxExposed * 1.05},
              Scenario + ": bad answers over requests, mean of 40 runs");
  size_t Colour = 0;
  for (const rollout_row &Row : Rows) {
    if (Row.Scenario != Scenario)
      continue;
    Panel.line(Row.Curve, CurveStep, Colour);
    Panel.legend(absl::StrFormat("%s: %.0f", Row.Policy, Row.Curve.back()),
                 Colour, Colour);
    ++Colour;
  }
  return Panel.text();
}

} // namespace

std::string plotSvg(const std::vector<choice_row> &Choice,
                    const std::vector<rollout_row> &Rollout) {
  constexpr double Width = 2 * (PanelWidth + 2 * Margin);
  constexpr double SecondRow = Margin + PanelHeight + 200;
  constexpr double Height = SecondRow + PanelHeight + 80;
  double Right = Margin + PanelWidth + 2 * Margin;
  std::string Svg = absl::StrFormat(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
      "height=\"%.0f\" font-family=\"sans-serif\" font-size=\"11\">\n"
      "<rect width=\"%.0f\" height=\"%.0f\" fill=\"white\"/>\n",
      Width, Height, Width, Height);
  Svg += choicePanel(Choice, "sahel", Margin);
  Svg += choicePanel(Choice, "laurentien", Right);
  Svg += exposurePanel(Rollout, "much worse from the start", Margin, SecondRow);
  Svg += exposurePanel(Rollout, "turns bad after settling", Right, SecondRow);
  return Svg + "</svg>\n";
}

} // namespace olivevalve
