// A budget that keeps retries a fraction of first tries.
#ifndef MIMOSADALE_DECIDE_RETRY_BUDGET_H
#define MIMOSADALE_DECIDE_RETRY_BUDGET_H

namespace mimosadale::decide {

/// Each first try pays in a fraction of a retry, each retry takes a whole one.
/// A reserve lets a quiet router recover from the loss of an engine that holds
/// many requests; retries can never multiply a lasting overload.
///
/// \par Thread safety
/// None.
class RetryBudget {
public:
  /// \param Fraction retries allowed a first try, 0 to 1.
  /// \param Reserve most retries saved up.
  explicit RetryBudget(double Fraction, double Reserve = 256);

  /// Notes a first try. \pre None.
  void onFirstTry();

  /// Takes one retry; false when the budget is spent.
  bool take();

  /// Retries left. \pre None.
  double left() const { return m_Left; }

private:
  double m_Fraction;
  double m_Reserve;
  double m_Left;
};

} // namespace mimosadale::decide

#endif
