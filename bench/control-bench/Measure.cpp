#include "Measure.h"

#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <unistd.h>

namespace marigoldspool {

double threadCpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::uint64_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

double Slope::perUnit() const
{
    double meanN = 0;
    double meanCost = 0;
    for (const Point &point : m_points) {
        meanN += point.n / static_cast<double>(m_points.size());
        meanCost += point.cost / static_cast<double>(m_points.size());
    }
    double covariance = 0;
    double variance = 0;
    for (const Point &point : m_points) {
        covariance += (point.n - meanN) * (point.cost - meanCost);
        variance += (point.n - meanN) * (point.n - meanN);
    }
    return covariance / variance;
}

void printRow(const std::string &what, double value, const std::string &unit,
              const std::string &remark)
{
    std::cout << std::left << std::setw(44) << what << std::right << std::fixed
              << std::setprecision(2) << std::setw(12) << value << ' ' << std::left << std::setw(10)
              << unit << remark << std::endl;
}

} // namespace marigoldspool
