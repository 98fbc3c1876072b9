package quotashare

import (
	"math"
	"slices"
	"time"
)

// NoGateway is the index of no gateway.
const NoGateway = -1

const (
	// LoanDuration is how long a loan lasts by the borrower's clock, from when it asked.
	LoanDuration = time.Second
	// LenderLoanDuration is how long it lasts by the lender's clock, from when it was asked: longer by what clocks may
	// drift apart.
	LenderLoanDuration = LoanDuration * 103 / 100

	// maxLenders is the number of loans of one customer that a gateway has at once.
	maxLenders = 16
	// maxBorrowers is the number of loans of one customer that a gateway grants at once.
	maxBorrowers = 32
	// demandHeadroom is the multiple of its demand that a lender keeps for itself.
	demandHeadroom = 1.25
	// minLoanFraction is the part of the lender's bucket from which a loan is worth granting.
	minLoanFraction = 0.02
)

// Loan is a part of a customer's bucket that one gateway has granted another.
type Loan struct {
	// Gateway is the index of the other gateway.
	Gateway int
	Bucket  Bucket
	// Until is when the loan is over, by this gateway's clock.
	Until time.Duration
}

// isOver reports whether the loan is over at a time.
func (loan Loan) isOver(now time.Duration) bool { return loan.Until <= now }

// Loans are those of one customer at one gateway. Gateways grant each other parts of a ceiling where the demand is at
// one of them. While a loan lasts the lender's bucket is smaller by it and the borrower's larger, so the gateways'
// buckets together stay what they were. The zero value has none.
type Loans struct {
	// borrowed holds one loan of each lender.
	borrowed []Loan
	// lent may hold several loans of a borrower, which may go by any that is not over: the largest counts.
	lent []Loan
}

// Borrow takes a loan that a gateway has granted, in place of its former one. A loan that is over, too long or no
// number is ignored.
func (loans *Loans) Borrow(now time.Duration, gateway int, bucket Bucket, until time.Duration) {
	if until <= now || until > now+LoanDuration || !bucket.isFinite() {
		return
	}
	position := slices.IndexFunc(loans.borrowed, func(loan Loan) bool { return loan.Gateway == gateway })
	switch {
	case position >= 0 && until >= loans.borrowed[position].Until:
		loans.borrowed[position] = Loan{gateway, bucket, until}
	case position < 0 && len(loans.borrowed) < maxLenders:
		loans.borrowed = append(loans.borrowed, Loan{gateway, bucket, until})
	}
}

// FirstExpiry returns when the first borrowed loan ended that is over by now; 0: none is.
func (loans *Loans) FirstExpiry(now time.Duration) time.Duration {
	first := time.Duration(0)
	for _, loan := range loans.borrowed {
		if loan.isOver(now) && (first == 0 || loan.Until < first) {
			first = loan.Until
		}
	}
	return first
}

// DropExpired forgets the loans that are over.
func (loans *Loans) DropExpired(now time.Duration) {
	isOver := func(loan Loan) bool { return loan.isOver(now) }
	loans.borrowed = slices.DeleteFunc(loans.borrowed, isOver)
	loans.lent = slices.DeleteFunc(loans.lent, isOver)
}

// Borrowed is what this gateway has of others at a time.
func (loans *Loans) Borrowed(now time.Duration) Bucket {
	var sum Bucket
	for _, loan := range loans.borrowed {
		if !loan.isOver(now) {
			sum = sum.Add(loan.Bucket)
		}
	}
	return sum
}

// Lent is what others have of this gateway at a time, without one of them (NoGateway: with all).
func (loans *Loans) Lent(now time.Duration, without int) Bucket {
	var sum Bucket
	for i, loan := range loans.lent {
		sameBorrower := func(other Loan) bool { return other.Gateway == loan.Gateway }
		if loan.Gateway == without || slices.ContainsFunc(loans.lent[:i], sameBorrower) {
			continue
		}
		var largest Bucket
		for _, other := range loans.lent[i:] {
			if sameBorrower(other) && !other.isOver(now) {
				largest = largest.Max(other.Bucket)
			}
		}
		sum = sum.Add(largest)
	}
	return sum
}

// Lend decides what a gateway that asks is granted of this gateway's own bucket, which must not be granted for longer
// than until. demand is what this gateway itself needs, in units a second. ok is false when nothing is granted.
func (loans *Loans) Lend(
	now time.Duration, borrower int, own Bucket, until time.Duration, demand float64,
) (granted Loan, ok bool) {
	loans.DropExpired(now)
	end := now + LenderLoanDuration
	if end > until || own.Rate <= 0 || len(loans.lent) >= maxBorrowers {
		return Loan{}, false
	}
	needed := min(1, demandHeadroom*demand/own.Rate)
	free := own.Scale(1 - needed).Subtract(loans.Lent(now, borrower))
	if free.Rate < minLoanFraction*own.Rate {
		return Loan{}, false
	}
	granted = Loan{borrower, free, end}
	loans.lent = append(loans.lent, granted)
	return granted, true
}

// DropBorrowed drops all borrowed loans.
func (loans *Loans) DropBorrowed() { loans.borrowed = nil }

// HasAny reports whether there are loans.
func (loans *Loans) HasAny() bool { return len(loans.borrowed)+len(loans.lent) > 0 }

// isFinite reports whether rate and depth are numbers of 0 or more.
func (bucket Bucket) isFinite() bool {
	return bucket.Rate >= 0 && bucket.Depth >= 0 && !math.IsInf(bucket.Rate, 0) && !math.IsInf(bucket.Depth, 0)
}
