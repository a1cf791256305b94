#pragma once
// Text tables for a terminal.

#include <ostream>
#include <string>
#include <vector>

namespace siskindeal {

// Columns as wide as their widest cell, in characters; a header first.
class TextTable
{
public:
  using Row = std::vector<std::string>;

  explicit TextTable(Row aHeader);
  // A row has as many cells as the header.
  void Add(Row aRow);
  void Print(std::ostream& aOut) const;

private:
  std::vector<Row> m_rows;
};

} // namespace siskindeal
