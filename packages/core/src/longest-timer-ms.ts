/** The longest time of a timer of Node.js, in ms. A timer of a longer one ends at once. */
export const longestTimerMs = (2 ** 31) - 1;
