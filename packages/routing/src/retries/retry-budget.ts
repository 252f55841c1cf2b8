/** What is left for retries. It grows with requests and shrinks with retries, so retries stay a small part of the load. */
export type RetryBudget = {readonly credit: number};
