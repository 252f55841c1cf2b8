/** A peer's question for rights, and what its lender knows. Amounts are tokens. */
type LoanInputs = {
	readonly asked: number;
	/** All that the lender ever gave to the asker on this budget. */
	readonly given: number;
	/** What the asker knows to have received of that. */
	readonly received: number;
};

/**
Decides how much of what is asked still has to be lent.

What was given and is not known to the asker is on its way already: its reply was lost, or several questions came late
and together, as they do when a cut heals.
*/
export const planLoan = ({asked, given, received}: LoanInputs): number => {
	const underWay = Math.max(0, given - received);
	return Math.max(0, Math.ceil(asked) - underWay);
};
