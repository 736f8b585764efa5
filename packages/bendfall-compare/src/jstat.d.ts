/** The part of the library that is used; it has no types of its own. */
declare module 'jstat' {
  const jstat: {
    readonly studentt: { readonly inv: (probability: number, degreesOfFreedom: number) => number }
  }
  export default jstat
}
