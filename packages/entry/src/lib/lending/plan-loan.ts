/** A peer's loan request, and what the lender knows of earlier loans. Amounts are tokens. */
type LoanInputs = {
	/** What the peer asks for. */
	readonly asked: number;
	/** All that the lender ever gave to the peer on this budget. */
	readonly given: number;
	/** What the peer knows to have received from the lender on this budget. */
	readonly received: number;
};

/**
Decides how many of the requested tokens still have to be lent. Pure.

Tokens that were given and that the peer does not know of are in transit: the reply was lost, or several loan requests of the peer arrived late
and together, as happens when a network partition ends.
*/
export const planLoan = ({asked, given, received}: LoanInputs): number => {
	const inTransit = Math.max(0, given - received);
	return Math.max(0, Math.ceil(asked) - inTransit);
};
