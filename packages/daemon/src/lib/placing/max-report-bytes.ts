/** The largest report of an endpoint that is read, in bytes: a report of thousands of cached blocks has some tens of KB. */
export const maxReportBytes = 1024 * 1024;
