/** The id by which a ledger finds a claim. It includes the budget, so that no organisation can name another organisation's request. */
export const claimId = (budget: string, key: string): string => `${budget}\n${key}`;
