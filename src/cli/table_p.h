#pragma once
// Text tables for a terminal.

#include <ostream>
#include <string>
#include <vector>

namespace siskindeal {

// A table with a header row. Each column is as wide as its widest cell, in
// characters.
class TextTable
{
public:
  using Row = std::vector<std::string>;

  explicit TextTable(Row aHeader);
  // Missing cells are left empty; cells beyond the header are dropped.
  void Add(Row aRow);
  void Print(std::ostream& aOut) const;

private:
  std::vector<Row> m_rows;
};

} // namespace siskindeal
