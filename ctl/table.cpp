//===- table.cpp - Tables on the terminal ---------------------------------===//

#include "ctl/table.h"
#include <algorithm>
#include <array>
#include <cstdio>

namespace olivevalve {

namespace {

std::string cellText(const json &Row, const std::string &Member) {
  auto It = Row.find(Member);
  if (It == Row.end())
    return "-";
  if (It->is_string())
    return It->get<std::string>();
  if (It->is_number_float()) {
    std::array<char, 32> Text{};
    std::snprintf(Text.data(), Text.size(), "%.4g", It->get<double>());
    return Text.data();
  }
  return It->dump();
}

std::string pad(std::string Text, size_t Width) {
  Text.resize(std::max(Width, Text.size()), ' ');
  return Text;
}

} // namespace

std::string formatTable(const json &Rows,
                        const std::vector<table_column> &Columns) {
  std::string Text;
  std::vector<size_t> Widths;
  for (const table_column &Column : Columns) {
    size_t Width = Column.Heading.size();
    for (const json &Row : Rows)
      Width = std::max(Width, cellText(Row, Column.Member).size());
    Widths.push_back(Width);
  }
  auto AddLine = [&](auto CellOf) {
    std::string Line;
    for (size_t I = 0; I < Columns.size(); ++I)
      Line += pad(CellOf(Columns[I]), Widths[I]) + "  ";
    Line.erase(Line.find_last_not_of(' ') + 1);
    Text += Line + "\n";
  };
  AddLine([](const table_column &Column) { return Column.Heading; });
  for (const json &Row : Rows)
    AddLine([&](const table_column &Column) {
      return cellText(Row, Column.Member);
    });
  return Text;
}

} // namespace olivevalve
