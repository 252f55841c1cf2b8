/** The retries that a host may still make. `credit` grows with each request and shrinks by 1 with each retry, so retries stay a small part of the load. */
export type RetryBudget = {readonly credit: number};
