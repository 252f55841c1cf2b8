/** Where a claim is found. Scoped by budget, so that no organisation can name another's request. */
export const claimId = (budget: string, key: string): string => `${budget}\n${key}`;
