//===- table.h - Tables on the terminal -------------------------*- C++ -*-===//

#ifndef OLIVEVALVE_CTL_TABLE_H
#define OLIVEVALVE_CTL_TABLE_H

#include "base/fields.h"
#include <string>
#include <vector>

namespace olivevalve {

/// One column: its heading and the member of each row that it shows.
struct table_column {
  std::string Heading;
  std::string Member;
};

/// Formats an array of JSON objects as a table with a heading and one line for
/// each row; a member that a row lacks is shown as "-".
std::string formatTable(const json &Rows,
                        const std::vector<table_column> &Columns);

} // namespace olivevalve

#endif // OLIVEVALVE_CTL_TABLE_H
