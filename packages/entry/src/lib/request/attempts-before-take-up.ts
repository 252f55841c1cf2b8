/** The number before the first attempt of a take-up whose stream was not found: above those of any request, so that it replaces what an earlier one may still store. */
export const attemptsBeforeTakeUp = 1000;
