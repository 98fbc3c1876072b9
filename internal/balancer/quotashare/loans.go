package quotashare

import (
	"math"
	"slices"
	"time"
)

// NoGateway is an index that no gateway has.
const NoGateway = -1

const (
	// LoanDuration is how long a loan lasts on the borrower's clock, measured from its request.
	LoanDuration = time.Second
	// LenderLoanDuration is how long a loan lasts on the lender's clock, measured from the arrival of the request. It
	// is longer to allow for clock drift.
	LenderLoanDuration = LoanDuration * 103 / 100

	// maxLenders limits the simultaneous borrowed loans of one customer at a gateway.
	maxLenders = 16
	// maxBorrowers limits the simultaneous granted loans of one customer at a gateway.
	maxBorrowers = 32
	// demandHeadroom is the multiple of its demand that a lender keeps for itself.
	demandHeadroom = 1.25
	// minLoanFraction is the smallest fraction of the lender's bucket that is worth lending.
	minLoanFraction = 0.02
)

// Loan is a part of a customer's bucket that one gateway has lent to another.
type Loan struct {
	// Gateway is the index of the other gateway.
	Gateway int
	Bucket  Bucket
	// Until is when the loan expires, on this gateway's clock.
	Until time.Duration
}

// hasExpired reports whether the loan has expired at a time.
func (loan Loan) hasExpired(now time.Duration) bool { return loan.Until <= now }

// Loans holds the loans of one customer at one gateway. Gateways lend each other parts of a ceiling when the demand is
// at one of them. During a loan the lender's bucket is smaller and the borrower's larger by the same amount, so the sum
// of the gateways' buckets stays the same. The zero value holds no loans.
type Loans struct {
	// borrowed holds one loan from each lender.
	borrowed []Loan
	// lent may hold several loans to one borrower. The borrower may use any of them that has not expired, so the
	// largest one counts.
	lent []Loan
}

// Borrow adds a loan granted by a gateway and replaces the previous loan from that gateway. A loan that has expired,
// lasts too long or has an invalid bucket is ignored.
func (loans *Loans) Borrow(now time.Duration, gateway int, bucket Bucket, until time.Duration) {
	if until <= now || until > now+LoanDuration || !bucket.isFinite() {
		return
	}
	index := slices.IndexFunc(loans.borrowed, func(loan Loan) bool { return loan.Gateway == gateway })
	switch {
	case index >= 0 && until >= loans.borrowed[index].Until:
		loans.borrowed[index] = Loan{gateway, bucket, until}
	case index < 0 && len(loans.borrowed) < maxLenders:
		loans.borrowed = append(loans.borrowed, Loan{gateway, bucket, until})
	}
}

// FirstExpiry returns the earliest expiry time of the borrowed loans that have expired by now, or 0 if none has.
func (loans *Loans) FirstExpiry(now time.Duration) time.Duration {
	first := time.Duration(0)
	for _, loan := range loans.borrowed {
		if loan.hasExpired(now) && (first == 0 || loan.Until < first) {
			first = loan.Until
		}
	}
	return first
}

// DropExpired removes the loans that have expired.
func (loans *Loans) DropExpired(now time.Duration) {
	hasExpired := func(loan Loan) bool { return loan.hasExpired(now) }
	loans.borrowed = slices.DeleteFunc(loans.borrowed, hasExpired)
	loans.lent = slices.DeleteFunc(loans.lent, hasExpired)
}

// Borrowed returns the sum of what this gateway has borrowed at a time.
func (loans *Loans) Borrowed(now time.Duration) Bucket {
	var sum Bucket
	for _, loan := range loans.borrowed {
		if !loan.hasExpired(now) {
			sum = sum.Add(loan.Bucket)
		}
	}
	return sum
}

// Lent returns the sum of what this gateway has lent at a time, excluding loans to one borrower (NoGateway excludes
// none).
func (loans *Loans) Lent(now time.Duration, excludedBorrower int) Bucket {
	var sum Bucket
	for i, loan := range loans.lent {
		sameBorrower := func(other Loan) bool { return other.Gateway == loan.Gateway }
		if loan.Gateway == excludedBorrower || slices.ContainsFunc(loans.lent[:i], sameBorrower) {
			continue
		}
		var largest Bucket
		for _, other := range loans.lent[i:] {
			if sameBorrower(other) && !other.hasExpired(now) {
				largest = largest.Max(other.Bucket)
			}
		}
		sum = sum.Add(largest)
	}
	return sum
}

// Lend decides which part of this gateway's own bucket is lent to a borrower. own must not be lent beyond until. demand
// is this gateway's own demand, in units per second. ok is false if nothing is granted.
func (loans *Loans) Lend(
	now time.Duration, borrower int, own Bucket, until time.Duration, demand float64,
) (granted Loan, ok bool) {
	loans.DropExpired(now)
	expiry := now + LenderLoanDuration
	if expiry > until || own.Rate <= 0 || len(loans.lent) >= maxBorrowers {
		return Loan{}, false
	}
	keptFraction := min(1, demandHeadroom*demand/own.Rate)
	free := own.Scale(1 - keptFraction).Subtract(loans.Lent(now, borrower))
	if free.Rate < minLoanFraction*own.Rate {
		return Loan{}, false
	}
	granted = Loan{borrower, free, expiry}
	loans.lent = append(loans.lent, granted)
	return granted, true
}

// DropBorrowed removes all borrowed loans.
func (loans *Loans) DropBorrowed() { loans.borrowed = nil }

// HasAny reports whether there are any loans.
func (loans *Loans) HasAny() bool { return len(loans.borrowed)+len(loans.lent) > 0 }

// isFinite reports whether rate and depth are finite and not negative.
func (bucket Bucket) isFinite() bool {
	return bucket.Rate >= 0 && bucket.Depth >= 0 && !math.IsInf(bucket.Rate, 0) && !math.IsInf(bucket.Depth, 0)
}
