/** A row of the chart: the difference of one figure on one day, with its interval. */
export type DifferenceRow = {readonly day: string; readonly figure: string; readonly mean: number; readonly low: number; readonly high: number};
