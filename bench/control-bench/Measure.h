#ifndef MARIGOLDSPOOL_BENCH_CONTROL_MEASURE_H
#define MARIGOLDSPOOL_BENCH_CONTROL_MEASURE_H

#include <cstdint>
#include <string>
#include <vector>

namespace marigoldspool {

/// CPU time of the calling thread, in seconds.
double threadCpuSeconds();
/// Resident memory of the process, in bytes.
std::uint64_t residentBytes();

/// A cost that grows with a number: fitted by least squares over several sizes, so that fixed
/// costs do not count.
class Slope
{
public:
    void add(double n, double cost) { m_points.push_back({n, cost}); }
    double perUnit() const;

private:
    struct Point {
        double n;
        double cost;
    };
    std::vector<Point> m_points;
};

/// One line of the table.
void printRow(const std::string &what, double value, const std::string &unit,
              const std::string &remark);

} // namespace marigoldspool

#endif
